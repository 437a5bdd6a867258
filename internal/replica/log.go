package replica

// log holds the entries after a snapshot, and the snapshot's position.
type log struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
}

func (l *log) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 { return l.term(l.lastIndex()) }

// has reports whether the term of the entry at index is known, which includes the last entry of
// the snapshot.
func (l *log) has(index uint64) bool { return index >= l.snapshotIndex && index <= l.lastIndex() }

// term returns the term of the entry at index, or zero if it is not known.
func (l *log) term(index uint64) uint64 {
	if !l.has(index) {
		return 0
	}
	if index == l.snapshotIndex {
		return l.snapshotTerm
	}
	return l.entries[index-l.snapshotIndex-1].Term
}

// after returns at most limit entries after index.
func (l *log) after(index uint64, limit int) []Entry {
	if index >= l.lastIndex() {
		return nil
	}
	entries := l.entries[index-l.snapshotIndex:]
	return entries[:min(len(entries), limit)]
}

// between returns the entries after from, up to and including to.
func (l *log) between(from, to uint64) []Entry {
	return l.entries[from-l.snapshotIndex : to-l.snapshotIndex]
}

// append adds entries and replaces those that conflict. It never removes an entry that agrees,
// so a delayed message can't truncate the log.
func (l *log) append(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= l.snapshotIndex {
			continue
		}
		if entry.Index <= l.lastIndex() {
			if l.term(entry.Index) == entry.Term {
				continue
			}
			// Copy, so that slices returned earlier keep their content.
			l.entries = append([]Entry(nil), l.entries[:entry.Index-l.snapshotIndex-1]...)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// compact drops the entries up to and including index.
func (l *log) compact(index uint64) {
	term := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm = index, term
}

// reset replaces the log by the position of a snapshot.
func (l *log) reset(snapshot Snapshot) {
	l.snapshotIndex, l.snapshotTerm = snapshot.Index, snapshot.Term
	l.entries = nil
}
