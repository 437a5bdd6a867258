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

// Bounds of the index of contents. A content is a prefix that prompts share, identified by a
// hash.
const (
	// contentHomes is the number of nodes that index the holders of a content. The second one
	// stands in for a first one that is lost or doesn't answer.
	contentHomes = 2
	// holderLife is for how long after it prefilled a content a worker is assumed to hold it.
	// Engines' KV caches turned over in 10 to 18 s under the shifted workload
	// (docs/design/shifted-work.md). If holderLife is too long, a fetch of the content brings
	// less than expected.
	holderLife = 12 * time.Second
	// maxHolders is how many holders of a content are remembered: the newest ones.
	maxHolders = 4
	// minListParts is the number of parts from which a cache update is taken for the list of
	// all that a worker has cached (worker.Registry.ObserveCacheList) rather than for a prompt.
	minListParts = 8
)

// contentRecord records that a worker holds a content.
type contentRecord struct {
	content uint64
	holder  scheduling.Holder
}

// contentRecordOf returns the content that a cache update adds, or false if the update is a
// full list or shares too few tokens to be worth looking up.
func contentRecordOf(update worker.CacheUpdate) (contentRecord, bool) {
	if len(update.Parts) < 2 || len(update.Parts) >= minListParts {
		return contentRecord{}, false
	}
	content, tokens := scheduling.Content(update.Parts)
	return contentRecord{content: content, holder: scheduling.Holder{Worker: update.Worker, Tokens: tokens}}, content != 0
}

func renderContent(record contentRecord) string {
	return strconv.FormatUint(record.content, partBase) + " " + record.holder.Worker + " " + strconv.Itoa(record.holder.Tokens)
}

func parseContent(text string) (contentRecord, error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return contentRecord{}, eris.Errorf("a content record has %d fields, want 3", len(fields))
	}
	content, contentErr := strconv.ParseUint(fields[0], partBase, 64)
	tokens, tokensErr := strconv.Atoi(fields[2])
	if contentErr != nil || tokensErr != nil || tokens < 0 {
		return contentRecord{}, eris.Errorf("content record %q is malformed", text)
	}
	return contentRecord{content: content, holder: scheduling.Holder{Worker: fields[1], Tokens: tokens}}, nil
}

// contentIndex maps contents to the workers that hold them. It doesn't read the clock: callers
// pass the time.
type contentIndex struct {
	holders map[uint64][]timedHolder
	pruned  time.Time
}

type timedHolder struct {
	scheduling.Holder
	at time.Time
}

func newContentIndex() *contentIndex { return &contentIndex{holders: make(map[uint64][]timedHolder)} }

// add records that a worker has prefilled a content.
func (c *contentIndex) add(record contentRecord, now time.Time) {
	c.prune(now)
	known := slices.DeleteFunc(c.holders[record.content], func(held timedHolder) bool { return held.Worker == record.holder.Worker })
	known = append(known, timedHolder{record.holder, now})
	if len(known) > maxHolders {
		known = known[len(known)-maxHolders:]
	}
	c.holders[record.content] = known
}

// of returns the workers that hold a content, the newest first.
func (c *contentIndex) of(content uint64, now time.Time) []scheduling.Holder {
	var holders []scheduling.Holder
	for _, held := range slices.Backward(c.holders[content]) {
		if now.Sub(held.at) < holderLife {
			holders = append(holders, held.Holder)
		}
	}
	return holders
}

// prune removes expired contents.
func (c *contentIndex) prune(now time.Time) {
	if now.Sub(c.pruned) < holderLife {
		return
	}
	c.pruned = now
	maps.DeleteFunc(c.holders, func(_ uint64, known []timedHolder) bool {
		return !slices.ContainsFunc(known, func(held timedHolder) bool { return now.Sub(held.at) < holderLife })
	})
}

// homesOfContent returns the nodes of a region that index the holders of a content. Each region
// has its own index, since fetching a content from another region is slow.
func (s *peerSet) homesOfContent(content uint64, region string) []netip.AddrPort {
	return rendezvous.Top(s.inRegion(region), s.hashOf, content, contentHomes)
}

// homeOfContent returns the node to be asked for the holders of a content in a region. here
// reports that this node is a home of the content itself.
func (s *peerSet) homeOfContent(content uint64, region string, now time.Time) (home netip.AddrPort, here bool) {
	for _, address := range s.homesOfContent(content, region) {
		if address == s.address {
			return address, true
		}
		if known, exists := s.peers[address]; exists && !home.IsValid() && !now.Before(known.unresponsiveUntil) {
			home = address
		}
	}
	return home, false
}

// sendContents tells the homes of contents which workers have prefilled them. A small fleet
// doesn't need this, since every node knows the caches of all workers.
func (e *Exchange) sendContents(reads []worker.CacheUpdate, now time.Time) {
	told := make(map[netip.AddrPort][]string)
	e.mu.Lock()
	if e.peers.nodes() > fullTrackingFleet {
		for _, read := range reads {
			record, found := contentRecordOf(read)
			if !found {
				continue
			}
			for _, home := range e.peers.homesOfContent(record.content, e.peers.homeRegion(record.holder.Worker)) {
				if home == e.peers.address {
					e.contents.add(record, now)
				} else {
					told[home] = append(told[home], renderContent(record))
				}
			}
		}
	}
	e.mu.Unlock()
	for home, contents := range told {
		e.sendTo(home, Message{Node: e.node, Contents: contents})
	}
}

// receiveContents records the contents that another node reports.
func (e *Exchange) receiveContents(from netip.AddrPort, contents []string) {
	now := time.Now()
	for _, text := range contents {
		record, err := parseContent(text)
		if err != nil {
			e.logMalformed(from, err)
			return
		}
		e.mu.Lock()
		e.contents.add(record, now)
		e.mu.Unlock()
	}
}

// holdersOf returns the encoded holders of a content, for the answer to a question. addHolders
// decodes them.
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
		record, err := parseContent(text)
		if err != nil {
			return err
		}
		p.holders = append(p.holders, record.holder)
	}
	return nil
}
