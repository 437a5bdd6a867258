package nodeexchange

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/rendezvous"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// The figures of the index of contents.
const (
	// contentHomes is the number of nodes that know which workers keep a content: the
	// second makes up for one that is lost or doesn't answer.
	contentHomes = 2
	// holderLife is how long after it read a content a worker is taken to keep it. Engines'
	// memories turned over in 10 to 18 s on the shifted work (docs/design/shifted-work.md);
	// where it is too long a fetch brings less than was expected.
	holderLife = 12 * time.Second
	// maxHolders is how many workers of a content are known: the newest.
	maxHolders = 4
	// minListParts is the number of parts from which a read is a list of all that a worker
	// keeps, and no prompt (worker.Listed).
	minListParts = 8
)

// contentRecord tells that a worker keeps a content.
type contentRecord struct {
	content uint64
	holder  scheduling.Holder
}

// contentRecordOf names what a prompt shares with others, false where that is too little to be
// looked for.
func contentRecordOf(read worker.CacheUpdate) (contentRecord, bool) {
	if len(read.Parts) < 2 || len(read.Parts) >= minListParts {
		return contentRecord{}, false
	}
	content, tokens := scheduling.Content(read.Parts)
	return contentRecord{content: content, holder: scheduling.Holder{Worker: read.Worker, Tokens: tokens}}, content != 0
}

func renderContent(kept contentRecord) string {
	return strconv.FormatUint(kept.content, partBase) + " " + kept.holder.Worker + " " + strconv.Itoa(kept.holder.Tokens)
}

func parseContent(text string) (contentRecord, error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return contentRecord{}, eris.Errorf("a kept content has %d fields", len(fields))
	}
	content, contentErr := strconv.ParseUint(fields[0], partBase, 64)
	tokens, tokensErr := strconv.Atoi(fields[2])
	if contentErr != nil || tokensErr != nil || tokens < 0 {
		return contentRecord{}, eris.Errorf("the kept content %q is malformed", text)
	}
	return contentRecord{content: content, holder: scheduling.Holder{Worker: fields[1], Tokens: tokens}}, nil
}

// contentIndex knows which workers keep which contents. It is pure: time is an argument.
type contentIndex struct {
	holders map[uint64][]timedHolder
	pruned  time.Time
}

type timedHolder struct {
	scheduling.Holder
	at time.Time
}

func newContentIndex() *contentIndex { return &contentIndex{holders: make(map[uint64][]timedHolder)} }

// add records that a worker has read a content.
func (c *contentIndex) add(kept contentRecord, now time.Time) {
	c.prune(now)
	known := slices.DeleteFunc(c.holders[kept.content], func(held timedHolder) bool { return held.Worker == kept.holder.Worker })
	known = append(known, timedHolder{kept.holder, now})
	if len(known) > maxHolders {
		known = known[len(known)-maxHolders:]
	}
	c.holders[kept.content] = known
}

// of returns the workers that keep a content, the newest first.
func (c *contentIndex) of(content uint64, now time.Time) []scheduling.Holder {
	var holders []scheduling.Holder
	for _, held := range slices.Backward(c.holders[content]) {
		if now.Sub(held.at) < holderLife {
			holders = append(holders, held.Holder)
		}
	}
	return holders
}

// prune forgets what is old.
func (c *contentIndex) prune(now time.Time) {
	if now.Sub(c.pruned) < holderLife {
		return
	}
	c.pruned = now
	maps.DeleteFunc(c.holders, func(_ uint64, known []timedHolder) bool {
		return !slices.ContainsFunc(known, func(held timedHolder) bool { return now.Sub(held.at) < holderLife })
	})
}

// homesOfContent returns the nodes that know who keeps a content in a region: what
// another region keeps is slow to move.
func (s *peerSet) homesOfContent(content uint64, region string) []netip.AddrPort {
	return rendezvous.Top(s.inRegion(region), s.hashOf, content, contentHomes)
}

// homeOfContent returns the node to be asked for a content in a region, or tells that
// this one knows itself.
func (s *peerSet) homeOfContent(content uint64, region string, now time.Time) (home netip.AddrPort, here bool) {
	for _, address := range s.homesOfContent(content, region) {
		if address == s.address {
			return address, true
		}
		if known, exists := s.peers[address]; exists && !home.IsValid() && !now.Before(known.suspectedUntil) {
			home = address
		}
	}
	return home, false
}

// sendContents tells the nodes that are to know it which contents were read where. In a
// fleet in which each node knows all caches nobody need be told.
func (e *Exchange) sendContents(reads []worker.CacheUpdate, now time.Time) {
	told := make(map[netip.AddrPort][]string)
	e.mu.Lock()
	if e.peers.nodes() > fullTrackingFleet {
		for _, read := range reads {
			kept, found := contentRecordOf(read)
			if !found {
				continue
			}
			for _, home := range e.peers.homesOfContent(kept.content, e.peers.homeRegion(kept.holder.Worker)) {
				if home == e.peers.address {
					e.contents.add(kept, now)
				} else {
					told[home] = append(told[home], renderContent(kept))
				}
			}
		}
	}
	e.mu.Unlock()
	for home, contents := range told {
		e.sendTo(home, Message{Node: e.node, Contents: contents})
	}
}

// receiveContents records what other nodes tell of contents.
func (e *Exchange) receiveContents(from netip.AddrPort, contents []string) {
	now := time.Now()
	for _, text := range contents {
		kept, err := parseContent(text)
		if err != nil {
			e.logMalformed(from, err)
			return
		}
		e.mu.Lock()
		e.contents.add(kept, now)
		e.mu.Unlock()
	}
}

// holdersOf answers a question for a content, and addHolders reads the answer.
func (e *Exchange) holdersOf(content uint64) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var rendered []string
	for _, holder := range e.contents.of(content, time.Now()) {
		rendered = append(rendered, renderContent(contentRecord{content: content, holder: holder}))
	}
	return rendered
}

func (p *pendingQuestion) addHolders(rendered []string) error {
	for _, text := range rendered {
		kept, err := parseContent(text)
		if err != nil {
			return err
		}
		p.holders = append(p.holders, kept.holder)
	}
	return nil
}
