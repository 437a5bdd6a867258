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
// connection carries each id at most once, and after a request without an id no other one before an
// answer with an id was taken: what comes again does so in the place of the next answer at the latest.
type sends struct {
	// ids are the hashes of the ids of all requests sent.
	ids []uint64
	// idHeader names the header in which their answers repeat the id, empty if none was sent.
	idHeader string
	// anonymous tells that an answer without an id was taken, and none with one since. It was the answer
	// to question, empty if that may not be asked again.
	anonymous bool
	question  string
	// unrepeated is set once the answer to a request with an id didn't repeat it.
	unrepeated bool
}

// unused reports whether the connection has carried nothing.
func (s *sends) unused() bool { return len(s.ids) == 0 && !s.anonymous }

// admits reports whether the answer to a request can be told from the answers to all requests before it.
func (s *sends) admits(request *Request) bool {
	if request.ID == "" {
		return !s.anonymous || s.asksAgain(request)
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
		if s.anonymous && !s.asksAgain(request) {
			return false
		}
		s.anonymous, s.question = true, questionOf(request)
		s.unrepeated = request.ID != ""
		return true
	}
	if request.ID == "" {
		if slices.ContainsFunc(repeated, s.has) {
			return false
		}
		s.anonymous, s.question = true, questionOf(request)
		return true
	}
	if slices.ContainsFunc(repeated, func(id string) bool { return id != request.ID }) {
		return false
	}
	s.anonymous = false
	return true
}

// asksAgain reports whether a request is the same question as the last one. Its answer may be one to that
// which comes again: it tells what it told then.
func (s *sends) asksAgain(request *Request) bool {
	return s.question != "" && s.question == questionOf(request)
}

// questionOf returns what a request without an id reads, empty if it may change something.
func questionOf(request *Request) string {
	if request.ID != "" || request.Method != http.MethodGet {
		return ""
	}
	return request.Target
}

// repeatedIDs returns the ids that an answer bears.
func (s *sends) repeatedIDs(header http.Header) []string {
	if s.idHeader == "" {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(header.Values(s.idHeader)), func(id string) bool { return id == "" })
}
