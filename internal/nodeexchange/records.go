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

// recordsMessage is about the recorded usage windows that supervisors know. One of its fields is
// set.
type recordsMessage struct {
	Question *recordsQuestion `json:"q,omitempty"`
	Answer   *recordsAnswer   `json:"a,omitempty"`
	// Want asks for the records of windows, each from the given part on.
	Want map[usage.Window]int `json:"w,omitempty"`
	Part *recordPart          `json:"p,omitempty"`
	// Held acknowledges records, with their checksums.
	Held map[usage.Window]uint64 `json:"h,omitempty"`
}

// recordsState tells which records the sender knows. Supervisors send it with their periodic load
// messages.
type recordsState struct {
	// Digest is a checksum of all records.
	Digest uint64 `json:"d"`
	// The other fields are as in usage.Completeness.
	Era          uint64       `json:"e,omitempty"`
	CompleteFrom usage.Window `json:"f,omitempty"`
	Reporting    bool         `json:"r,omitempty"`
	InTouch      bool         `json:"t,omitempty"`
}

func (s recordsState) completeness() usage.Completeness {
	return usage.Completeness{Era: s.Era, From: s.CompleteFrom, Reporting: s.Reporting, InTouch: s.InTouch}
}

// recordsQuestion asks a supervisor which records it knows.
type recordsQuestion struct {
	// ID is when the question was asked, in nanoseconds of the sender's clock.
	ID  uint64 `json:"i"`
	Era uint64 `json:"e,omitempty"`
	// Digest is that of the sender's recordsState.
	Digest uint64 `json:"d"`
	// CountsAfter also asks for the counts that the receiver has collected of the windows after
	// this one.
	CountsAfter *usage.Window `json:"c,omitempty"`
}

// recordsAnswer answers a question.
type recordsAnswer struct {
	ID    uint64       `json:"i"`
	State recordsState `json:"t"`
	// Sums are the checksums of the records by window, if the digest differs from that of the
	// question.
	Sums map[usage.Window]uint64 `json:"s,omitempty"`
	// Messages is the number of messages with counts that were sent before.
	Messages int `json:"m,omitempty"`
}

// recordPart is a part of the record of a window.
type recordPart struct {
	Window usage.Window `json:"w"`
	Era    uint64       `json:"e,omitempty"`
	// Sum is the checksum of the whole record, which has the given number of parts.
	Sum    uint64       `json:"s"`
	Number int          `json:"n,omitempty"`
	Parts  int          `json:"p"`
	Counts usage.Counts `json:"c"`
}

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

// partsOf divides a record into parts, each of which fits in a message.
func partsOf(window usage.Window, record usage.Record) []recordPart {
	tenants := slices.Sorted(maps.Keys(record.Counts))
	count := max(1, (len(tenants)+maxGathered-1)/maxGathered)
	sum := record.Counts.Sum()
	parts := make([]recordPart, count)
	for number := range parts {
		counts := make(usage.Counts)
		for _, tenant := range tenants[number*maxGathered : min((number+1)*maxGathered, len(tenants))] {
			counts[tenant] = record.Counts[tenant]
		}
		parts[number] = recordPart{Window: window, Era: record.Era, Sum: sum, Number: number, Parts: count, Counts: counts}
	}
	return parts
}

// askRecords asks the other supervisors that may have other records than this node. Histories
// thus become alike again after messages were lost, and a node that starts or becomes a
// supervisor learns what was recorded before. A former supervisor passes on what it knows in the
// same way.
func (e *Exchange) askRecords() {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	e.pruneRecordsPeers()
	var targets []netip.AddrPort
	if e.peers.supervises() || len(e.usage.records.history.Sums()) > 0 {
		targets = e.peers.presentSupervisors()
	}
	e.mu.Unlock()
	for _, address := range targets {
		e.askRecordsOf(address)
	}
}

// askRecordsOf asks another node, unless this node has all of its records.
func (e *Exchange) askRecordsOf(address netip.AddrPort) {
	e.mu.Lock()
	known, exists := e.peers.peers[address]
	if !exists {
		e.mu.Unlock()
		return
	}
	peer := e.usage.records.peer(address, known.node)
	if !e.usage.records.mayDiffer(peer) && peer.collection.complete() {
		e.mu.Unlock()
		return
	}
	question := e.usage.records.question(peer)
	peer.unanswered++
	unaware := !peer.aware && peer.unanswered == unawareAfter
	e.mu.Unlock()
	if unaware {
		e.exchangeWithEarlierBuild(address)
	}
	e.sendTo(address, Message{Node: e.node, Records: &recordsMessage{Question: question}})
}

// pruneRecordsPeers drops what this node knows of nodes that are gone. mu must be held.
func (e *Exchange) pruneRecordsPeers() {
	maps.DeleteFunc(e.usage.records.peers, func(address netip.AddrPort, peer *recordsPeer) bool {
		gone := e.peers.peers[address] == nil && time.Since(peer.statedAt) > statedWithin
		if gone {
			e.usage.records.end(peer)
		}
		return gone
	})
}

// exchangeWithEarlierBuild sends a node of an earlier build the records that fit in a message of
// that build, and asks it for its own.
func (e *Exchange) exchangeWithEarlierBuild(address netip.AddrPort) {
	records := e.usage.records.history.Records(0)
	for window, record := range records {
		e.sendRecorded(address, map[usage.Window]usage.Counts{window: record.Counts})
	}
	now := e.usage.tally.WindowLength().WindowAt(e.usage.tally.Now(time.Now()))
	e.sendTo(address, Message{Node: e.node, WantUsage: now - maxWanted})
}

// forgetRecords forgets what a node that leaves knows.
func (e *Exchange) forgetRecords(address netip.AddrPort, node string) {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, exists := e.usage.records.peers[address]; exists && known.node == node {
		e.usage.records.end(known)
		delete(e.usage.records.peers, address)
	}
}

// receiveRecords processes a message about records.
func (e *Exchange) receiveRecords(from netip.AddrPort, node string, message recordsMessage) {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	e.usage.records.peer(from, node).aware = true
	e.mu.Unlock()
	switch {
	case message.Question != nil:
		e.answerRecords(from, *message.Question)
	case message.Answer != nil:
		e.receiveRecordsAnswer(from, node, message.Answer)
	case message.Want != nil:
		e.sendRecords(from, message.Want)
	case message.Part != nil:
		e.receiveRecordPart(from, node, *message.Part)
	case message.Held != nil:
		e.mu.Lock()
		maps.Copy(e.usage.records.peer(from, node).sums, message.Held)
		e.mu.Unlock()
	}
}

func (e *Exchange) answerRecords(to netip.AddrPort, question recordsQuestion) {
	e.observeEra(question.Era)
	answer := &recordsAnswer{ID: question.ID, State: e.usage.records.state()}
	if question.CountsAfter != nil {
		answer.Messages = e.sendCounts(to, *question.CountsAfter, question.ID)
	}
	if answer.State.Digest != question.Digest {
		answer.Sums = e.usage.records.history.Sums()
	}
	e.sendTo(to, Message{Node: e.node, Records: &recordsMessage{Answer: answer}})
}

// observeEra updates the history with an era that another node knows.
func (e *Exchange) observeEra(era uint64) {
	current := e.usage.tally.WindowLength().WindowAt(e.usage.tally.Now(time.Now()))
	e.usage.records.history.ObserveEra(era, clock.Boottime(), current)
}

// recordsState returns the state to send to supervisors, nil if usage isn't counted.
func (e *Exchange) recordsState() *recordsState {
	if e.usage == nil {
		return nil
	}
	state := e.usage.records.state()
	return &state
}

// receiveRecordsState compares the records of another supervisor with those of this node, and
// asks for them if they differ.
func (e *Exchange) receiveRecordsState(from netip.AddrPort, node string, state recordsState) {
	if e.usage == nil {
		return
	}
	e.observeEra(state.Era)
	e.mu.Lock()
	peer := e.usage.records.peer(from, node)
	peer.aware, peer.statedAt = true, time.Now()
	matches := e.usage.records.matches(peer, state, clock.Boottime())
	e.confirmRecords()
	e.mu.Unlock()
	if !matches {
		e.askRecordsOf(from)
	}
}

// confirmRecords tells the history since when this node has been in touch with all other
// supervisors, one of which may be the reporter. mu must be held.
func (e *Exchange) confirmRecords() {
	if !e.peers.listed || !e.peers.supervises() {
		return
	}
	oldest := clock.Boottime()
	for _, address := range e.peers.others(e.peers.supervisors()) {
		peer := e.usage.records.peer(address, e.peers.peers[address].node)
		if peer.inTouchAt.Before(oldest) {
			oldest = peer.inTouchAt
		}
	}
	e.usage.records.history.Confirm(oldest)
}

// receiveRecordsAnswer asks for the records that this node lacks, and sends those that the peer
// lacks.
func (e *Exchange) receiveRecordsAnswer(from netip.AddrPort, node string, answer *recordsAnswer) {
	e.observeEra(answer.State.Era)
	e.mu.Lock()
	peer := e.usage.records.peer(from, node)
	extra := e.usage.records.receive(peer, answer)
	want := e.usage.records.want(peer)
	e.mu.Unlock()
	e.askForRecords(from, want)
	e.sendRecords(from, fromFirstPart(extra))
}

func (e *Exchange) askForRecords(from netip.AddrPort, want map[usage.Window]int) {
	if len(want) > 0 {
		e.sendTo(from, Message{Node: e.node, Records: &recordsMessage{Want: want}})
	}
}

func fromFirstPart(windows []usage.Window) map[usage.Window]int {
	wanted := make(map[usage.Window]int, len(windows))
	for _, window := range windows {
		wanted[window] = 0
	}
	return wanted
}

// sendRecords sends records, each from the given part on, newest first.
func (e *Exchange) sendRecords(to netip.AddrPort, wanted map[usage.Window]int) {
	sent := 0
	windows := slices.Sorted(maps.Keys(wanted))
	slices.Reverse(windows)
	for _, window := range windows {
		record, exists := e.usage.records.history.Find(window)
		if !exists {
			continue
		}
		for _, part := range partsOf(window, record) {
			if part.Number < wanted[window] || sent >= maxRecordParts {
				continue
			}
			sent++
			e.sendTo(to, Message{Node: e.node, Records: &recordsMessage{Part: &part}})
		}
	}
}

// receiveRecordPart merges a part of a record. It acknowledges a complete record, and asks for
// more if that was the last one that this node had asked the peer for.
func (e *Exchange) receiveRecordPart(from netip.AddrPort, node string, part recordPart) {
	e.mu.Lock()
	sum, complete := e.usage.records.merge(part)
	peer := e.usage.records.peer(from, node)
	var want map[usage.Window]int
	if complete && peer.wanted[part.Window] {
		delete(peer.wanted, part.Window)
		if len(peer.wanted) == 0 {
			want = e.usage.records.want(peer)
		}
	}
	e.mu.Unlock()
	if complete {
		held := map[usage.Window]uint64{part.Window: sum}
		e.sendTo(from, Message{Node: e.node, Records: &recordsMessage{Held: held}})
	}
	e.askForRecords(from, want)
}
