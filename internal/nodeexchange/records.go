package nodeexchange

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/usage"
)

const (
	// maxWanted bounds the windows that one message asks for.
	maxWanted = 8
	// maxRecordParts bounds the parts that are sent to a node at once, so that they fit in its
	// receive buffer. It is enough for the largest record that fits in a row of the store.
	maxRecordParts = 16
	// unawareAfter is the number of unanswered questions after which a peer counts as one of an
	// earlier build.
	unawareAfter = 3
)

// recordsPeer is what this node knows of the records of another supervisor.
type recordsPeer struct {
	// node is the peer's incarnation.
	node string
	// sums are the checksums of the records that the peer is known to have.
	sums map[usage.Window]uint64
	// answer is the last answer of the peer, as long as this node lacks records that it lists.
	answer *recordsAnswer
	// answered is the ID of the last question that was answered.
	answered uint64
	// collection is the collection of the counts that the peer has, nil if none has begun.
	collection *collection
	// wanted are the windows whose records this node has asked the peer for.
	wanted map[usage.Window]bool
	// synchronized tells that this node has had all records of the peer, and digest is the digest
	// of its own at that time. inTouchAt is the latest time as of which it has had all of the
	// peer's, by clock.Boottime.
	synchronized bool
	digest       uint64
	inTouchAt    time.Time
	// aware tells that the peer has sent a recordsMessage. Earlier builds don't. unanswered
	// counts the questions to a peer of which that isn't known.
	aware      bool
	unanswered int
	// exchangedAt is when this node last sent the peer its records in the form of earlier builds
	// and asked for the peer's, zero if it hasn't.
	exchangedAt time.Time
	// statedAt is when its last recordsState came.
	statedAt time.Time
}

// collection is the state of a question for the counts and records of a supervisor.
type collection struct {
	question uint64
	// after is the window after which counts are asked for, nil to ask for records only.
	after *usage.Window
	// received is the number of messages with counts that came for the question. expected is the
	// number of those that were sent, negative until the answer has come.
	received, expected int
	// synchronized tells that this node has all records that the answer, or a later one, lists.
	synchronized bool
}

func (c *collection) complete() bool {
	return c == nil || c.synchronized && c.received == c.expected
}

// recordsExchange is this node's part in keeping the histories of the supervisors alike. It is
// guarded by the exchange's mu.
type recordsExchange struct {
	history      *usage.History
	peers        map[netip.AddrPort]*recordsPeer
	lastQuestion uint64
	// collectingSince is when the last collection began.
	collectingSince time.Time
	// incomplete holds the parts of records of which others are missing, by window.
	incomplete map[usage.Window]*incompleteRecord
}

// incompleteRecord is a record of which not all parts have been received.
type incompleteRecord struct {
	sum   uint64
	parts map[int]usage.Counts
}

func newRecordsExchange(history *usage.History) recordsExchange {
	return recordsExchange{
		history: history, peers: make(map[netip.AddrPort]*recordsPeer), incomplete: make(map[usage.Window]*incompleteRecord),
	}
}

// peer returns the entry of an incarnation of a node.
func (r *recordsExchange) peer(address netip.AddrPort, node string) *recordsPeer {
	known, exists := r.peers[address]
	if exists && known.node != node {
		r.end(known)
	}
	if !exists || known.node != node {
		known = &recordsPeer{node: node, sums: make(map[usage.Window]uint64)}
		r.peers[address] = known
	}
	return known
}

// end records that the process of a peer has ended.
func (r *recordsExchange) end(peer *recordsPeer) {
	if !usage.InTouch(peer.inTouchAt, clock.Boottime()) {
		r.history.Interrupt()
	}
}

// state returns this node's state.
func (r *recordsExchange) state() recordsState {
	known := r.history.Completeness(clock.Boottime())
	return recordsState{Digest: digestOf(r.history.Sums()), Era: known.Era, CompleteFrom: known.From, Reporting: known.Reporting, InTouch: known.InTouch}
}

// matches records the state of a peer, and reports whether the peer has the same records.
func (r *recordsExchange) matches(peer *recordsPeer, state recordsState, at time.Time) bool {
	own := r.history.Sums()
	peer.synchronized, peer.digest = state.Digest == digestOf(own), state.Digest
	if peer.synchronized {
		maps.Copy(peer.sums, own)
		peer.inTouchAt = at
		r.history.Synchronized(state.completeness(), at)
	}
	return peer.synchronized
}

// question returns a new question to a peer. It asks for counts too as long as their collection
// isn't complete.
func (r *recordsExchange) question(peer *recordsPeer) *recordsQuestion {
	r.lastQuestion = max(r.lastQuestion+1, uint64(clock.Boottime().UnixNano()))
	state := r.state()
	question := &recordsQuestion{ID: r.lastQuestion, Era: state.Era, Digest: state.Digest}
	if !peer.collection.complete() {
		question.CountsAfter = peer.collection.after
		peer.collection = &collection{question: question.ID, after: question.CountsAfter, expected: -1}
	}
	return question
}

// digestOf returns a checksum of the checksums of records.
func digestOf(sums map[usage.Window]uint64) uint64 {
	digest := uint64(len(sums))
	for _, window := range slices.Sorted(maps.Keys(sums)) {
		digest = digest*digestFactor + uint64(window)
		digest = digest*digestFactor + sums[window]
	}
	return digest
}

// digestFactor is the prime of the 64-bit FNV hash.
const digestFactor = 1_099_511_628_211

// receive records an answer, and returns the windows whose records the peer lacks. It ignores an
// answer that is older than another one, or that tells that the records were the same as this
// node's before it learned of more.
func (r *recordsExchange) receive(peer *recordsPeer, answer *recordsAnswer) []usage.Window {
	own := r.history.Sums()
	if answer.Sums == nil && answer.State.Digest == digestOf(own) {
		answer.Sums = own
	}
	if answer.ID <= peer.answered || answer.Sums == nil && answer.State.Digest != digestOf(nil) {
		return nil
	}
	peer.answer, peer.answered = answer, answer.ID
	if known := peer.collection; known != nil && known.question == answer.ID {
		known.expected = answer.Messages
	}
	maps.Copy(peer.sums, answer.Sums)
	oldest := r.history.Oldest()
	maps.DeleteFunc(peer.sums, func(window usage.Window, _ uint64) bool { return window < oldest })
	r.settle(peer)
	return differing(own, answer.Sums, oldest)
}

// want returns the next records to ask a peer for, each from the first part that this node
// lacks.
func (r *recordsExchange) want(peer *recordsPeer) map[usage.Window]int {
	if peer.answer == nil {
		return nil
	}
	want := make(map[usage.Window]int)
	peer.wanted = make(map[usage.Window]bool)
	for _, window := range differing(peer.answer.Sums, r.history.Sums(), r.history.Oldest()) {
		want[window] = r.firstMissing(window)
		peer.wanted[window] = true
	}
	return want
}

// differing returns the windows, newest first, whose checksums in sums aren't in other.
func differing(sums, other map[usage.Window]uint64, oldest usage.Window) []usage.Window {
	var windows []usage.Window
	for window, sum := range sums {
		if had, exists := other[window]; window >= oldest && (!exists || had != sum) {
			windows = append(windows, window)
		}
	}
	slices.SortFunc(windows, func(a, b usage.Window) int { return cmp.Compare(b, a) })
	return windows[:min(len(windows), maxWanted)]
}

// settle marks a peer as synchronized if this node has all records that its answer lists.
func (r *recordsExchange) settle(peer *recordsPeer) {
	if peer.answer == nil || len(differing(peer.answer.Sums, r.history.Sums(), r.history.Oldest())) > 0 {
		return
	}
	if known := peer.collection; known != nil && known.question <= peer.answer.ID {
		known.synchronized = true
	}
	peer.inTouchAt = time.Unix(0, int64(peer.answer.ID))
	r.history.Synchronized(peer.answer.State.completeness(), peer.inTouchAt)
	peer.synchronized, peer.digest, peer.answer = true, digestOf(r.history.Sums()), nil
}

// mayDiffer reports whether a peer may have other records than this node.
func (r *recordsExchange) mayDiffer(peer *recordsPeer) bool {
	return !peer.synchronized || peer.digest != digestOf(r.history.Sums())
}

// merge adds a part of a record. It returns the record's checksum if the record is complete.
func (r *recordsExchange) merge(part recordPart) (sum uint64, complete bool) {
	known, exists := r.incomplete[part.Window]
	if !exists || known.sum != part.Sum {
		known = &incompleteRecord{sum: part.Sum, parts: make(map[int]usage.Counts)}
		r.incomplete[part.Window] = known
	}
	known.parts[part.Number] = part.Counts
	maps.DeleteFunc(r.incomplete, func(window usage.Window, _ *incompleteRecord) bool { return window < r.history.Oldest() })
	if len(known.parts) < part.Parts {
		return 0, false
	}
	delete(r.incomplete, part.Window)
	counts := make(usage.Counts)
	for _, of := range known.parts {
		maps.Copy(counts, of)
	}
	if counts.Sum() != part.Sum {
		return 0, false
	}
	r.history.Merge(map[usage.Window]usage.Record{part.Window: {Counts: counts, Era: part.Era}})
	for _, peer := range r.peers {
		r.settle(peer)
	}
	return part.Sum, true
}

// firstMissing returns the first part of a record that hasn't been received.
func (r *recordsExchange) firstMissing(window usage.Window) int {
	known, exists := r.incomplete[window]
	if !exists {
		return 0
	}
	number := 0
	for known.parts[number] != nil {
		number++
	}
	return number
}
