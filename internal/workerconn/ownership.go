package workerconn

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// maxSends bounds the requests that a connection carries, and with them what is remembered of it.
const maxSends = 512

// idSeed makes the hashes of ids unpredictable to callers, who choose the ids.
var idSeed = maphash.MakeSeed()

// sends is what a connection has carried. A worker may send an answer again, late, in the place of
// the next answer; only the id tells which request an answer belongs to. So that it always does, a
// connection carries each id at most once, and one request without an id.
type sends struct {
	// ids are the hashes of the ids of all requests sent.
	ids []uint64
	// idHeader names the header in which their answers repeat the id, empty if none was sent.
	idHeader string
	// anonymous is set once a request without an id was sent, or an answer without one was taken.
	anonymous bool
	// unrepeated is set once the answer to a request with an id didn't repeat it.
	unrepeated bool
}

// unused reports whether the connection has carried nothing.
func (s *sends) unused() bool { return len(s.ids) == 0 && !s.anonymous }

// admits reports whether the answer to a request can be told from the answers to all requests before it.
func (s *sends) admits(request *Request) bool {
	if request.ID == "" {
		return !s.anonymous
	}
	return s.mayCarryMore() && !s.has(request.ID)
}

// mayCarryMore reports whether there are other requests that the connection admits.
func (s *sends) mayCarryMore() bool { return len(s.ids) < maxSends && !s.unrepeated }

func (s *sends) has(id string) bool { return slices.Contains(s.ids, maphash.String(idSeed, id)) }

// add records a request that is about to be sent.
func (s *sends) add(request *Request) {
	if request.ID == "" {
		return // it counts with its answer, of which there can be none before
	}
	s.ids = append(s.ids, maphash.String(idSeed, request.ID))
	s.idHeader = request.IDHeader
}

// takes reports whether an answer belongs to the request that was added last, and records it if so.
func (s *sends) takes(request *Request, header http.Header) bool {
	repeated := s.repeatedIDs(header)
	if len(repeated) == 0 {
		if s.anonymous {
			return false
		}
		s.anonymous = true
		s.unrepeated = request.ID != ""
		return true
	}
	if request.ID == "" {
		if slices.ContainsFunc(repeated, s.has) {
			return false
		}
		s.anonymous = true
		return true
	}
	return !slices.ContainsFunc(repeated, func(id string) bool { return id != request.ID })
}

// repeatedIDs returns the ids that an answer bears.
func (s *sends) repeatedIDs(header http.Header) []string {
	if s.idHeader == "" {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(header.Values(s.idHeader)), func(id string) bool { return id == "" })
}
