// Package nodeexchange carries the messages that nodes send each other over UDP, so that every
// node schedules requests by the load that all nodes have placed on the workers. Each worker
// has homes: the nodes that track its load, chosen by rendezvous hashing. The other nodes
// report to the homes what they have placed on the worker, and ask them before they place more.
// In a small fleet every node is a home of every worker, and no node needs to ask.
//
// A load message, also called a digest, is a JSON datagram with all that its sender has placed
// on the receiver's workers, so that the next one makes up for one that is lost. The same
// datagrams carry broadcasts about tables of the store, the accounting of quotas and usage, and
// suspect requests.
package nodeexchange

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/tablerelay"
	"github.com/tinarch/tinarch/internal/usage"
	"github.com/tinarch/tinarch/internal/worker"
)

// Message is one datagram. The JSON names are short because traffic between zones is billed by
// the byte.
type Message struct {
	// Node is the sender's incarnation: the ID of one run of the node's process. A node that
	// restarts at the same address has a new one.
	Node string `json:"n"`
	// Sequence increases with each load message of an incarnation, the one with Leaving
	// included. Broadcasts (announcements, news and others) are numbered separately. It is zero
	// in all other messages, so that a receiver can tell that such a message isn't a broadcast.
	Sequence uint64 `json:"s"`
	// Loads holds for each worker the number of requests, memory tokens, and tokens still to be
	// prefilled by rank, without trailing zeros.
	Loads map[string][]int `json:"l,omitempty"`
	// CacheUpdates hold "worker part:tokens part:tokens …": prompt parts that a worker has in
	// its KV cache now, with their IDs in hexadecimal.
	CacheUpdates []string `json:"r,omitempty"`
	// Prefills hold "worker left part:tokens part:tokens …": shared prefixes that the sender has
	// workers prefill, with the expected time left in milliseconds.
	Prefills []string `json:"ip,omitempty"`
	// Failures are workers that failed requests of the sender, once for each failure.
	Failures []string `json:"f,omitempty"`
	// StageChanges hold for each worker for how many milliseconds a change of its stage may
	// still be in progress, negative for a change to decode.
	StageChanges map[string]int64 `json:"o,omitempty"`
	// Limits hold for each worker the request limit that it stated to the sender.
	Limits map[string]wireLimit `json:"lm,omitempty"`
	// Draining are workers that recently announced to the sender that they are about to end.
	Draining []string `json:"dw,omitempty"`
	// Slowdowns hold what workers have stated about their hosts since the last message.
	Slowdowns map[string]wireSlowdown `json:"hs,omitempty"`
	// Readings hold, by worker, prefills that the sender has measured since the last message.
	Readings map[string][]wireReading `json:"rd,omitempty"`
	// Turns requests, answers or reports turns at workers that limit their requests per second.
	// Such a message holds nothing else.
	Turns *quotaMessage `json:"tn,omitempty"`
	// Streams holds streams of the sender's callers, by what began them.
	Streams []wireStreams `json:"st,omitempty"`
	// Demand holds for each service what the sender's callers want: prompt tokens to be
	// prefilled per second, thousandths of running requests, and their tokens of memory.
	Demand map[string]wireDemand `json:"d,omitempty"`
	// RegionDemand holds the demand of each region, in a deployment of several regions.
	RegionDemand map[string]map[string]wireDemand `json:"dr,omitempty"`
	// WantMemory asks the receiver for what it has learned of these workers.
	WantMemory []string `json:"b,omitempty"`
	// Memory marks an answer to WantMemory, with CacheUpdates and Paces. MemoryComplete lists
	// the workers for which the answer is complete.
	Memory         bool     `json:"m,omitempty"`
	MemoryComplete []string `json:"e,omitempty"`
	// Paces are the prefill throughputs learned of workers.
	Paces []worker.PrefillModel `json:"p,omitempty"`
	// Zone is the sender's zone. It is set in reports only: the periodic messages that
	// supervisors get too (see reportInterval).
	Zone string `json:"z,omitempty"`
	// Announcements are about tables of the store. Such a message holds nothing else.
	Announcements []tablerelay.Announcement `json:"t,omitempty"`
	// CreatedMillis is when the originator created the announcements, in milliseconds of its
	// CLOCK_BOOTTIME.
	CreatedMillis int64 `json:"tm,omitempty"`
	// WantAnnouncements asks the receiver for the announcements that it knows.
	WantAnnouncements bool `json:"u,omitempty"`
	// News are changes of a table, compressed: the rows themselves, where an announcement only
	// tells their version. Such a message holds nothing else.
	News []byte `json:"w,omitempty"`
	// Relayed marks a broadcast that doesn't come from its originator. RelayInRegion tells the
	// receiver to relay the broadcast in its region, and RelayInZone to relay it in its zone,
	// even if the receiver doesn't count itself among the heads of the zone.
	Relayed       bool `json:"y,omitempty"`
	RelayInRegion bool `json:"yr,omitempty"`
	RelayInZone   bool `json:"yz,omitempty"`
	// RelayGroups is the number of groups into which the nodes of the zone are divided, if the
	// receiver is to relay the message in its group, or else zero.
	RelayGroups int `json:"yg,omitempty"`
	// Contents hold "content worker tokens": shared prefixes that workers have in their KV
	// caches.
	Contents []string `json:"c,omitempty"`
	// Question asks for load reports on workers, and Reply answers it. A Reply whose ID is zero
	// answers no question: it tells a node that has just been heard of workers' limits and of
	// workers that are about to end.
	Question *question `json:"q,omitempty"`
	Reply    *reply    `json:"v,omitempty"`
	// Usage reports what the sender has counted, and UsageReply acknowledges it. WantUsage asks
	// a supervisor for what it has gathered after a window, and Gathered is a part of the
	// answer.
	Usage      *wireUsage    `json:"g,omitempty"`
	UsageReply *usageReply   `json:"h,omitempty"`
	WantUsage  usage.Window  `json:"j,omitempty"`
	Gathered   *wireGathered `json:"k,omitempty"`
	// RecordsState tells a supervisor which recorded usage windows the sender knows.
	RecordsState *recordsState `json:"us,omitempty"`
	// Records is about the recorded usage windows that supervisors know. Such a message holds
	// nothing else.
	Records *recordsMessage `json:"ur,omitempty"`
	// Departed are nodes that a supervisor has removed because they were silent for
	// departedAfter. Such a message holds nothing else.
	Departed []netip.AddrPort `json:"dp,omitempty"`
	// Quota requests, answers or reports charges to tenants' quotas. Such a message holds
	// nothing else.
	Quota *quotaMessage `json:"i,omitempty"`
	// Suspects are requests during which workers ended. Such a message holds nothing else.
	Suspects []quarantine.Record `json:"sp,omitempty"`
	// PartSuspects are prompt parts of such requests. Messages with them have Suspects too, since
	// builds that don't know PartSuspects take other messages for load messages.
	PartSuspects []quarantine.Record `json:"spp,omitempty"`
	// Waits is about requests that wait for engines. Such a message holds nothing else.
	Waits *waitMessage `json:"wq,omitempty"`
	// SteppedBack tells that the sender can't give orders, so that it isn't designated even if
	// it has the lowest incarnation. Incarnations are compared as strings.
	SteppedBack bool `json:"a,omitempty"`
	// Connects tells whether the sender opens connections to workers for other nodes.
	Connects connects `json:"cn,omitempty"`
	// Leaving tells that the sender shuts down.
	Leaving bool `json:"x,omitempty"`
}

// wireDemand is a worker.Demand in whole numbers: prompt tokens to be prefilled per second,
// requests in units of 1/requestUnits, tokens of memory and, only where they are followed, the
// asked tokens per second that prompts share and how many of them have to be read. Earlier
// builds ignore the last two.
type wireDemand []int

// The lengths of a wireDemand without and with the shared tokens.
const (
	demandFigures       = 3
	sharedDemandFigures = 5
)

// requestUnits is the number of units of a request in a wireDemand.
const requestUnits = 1000

func renderDemand(demands map[string]worker.Demand) map[string]wireDemand {
	var rendered map[string]wireDemand
	for service, demand := range demands {
		if rendered == nil {
			rendered = make(map[string]wireDemand, len(demands))
		}
		form := wireDemand{int(demand.ReadTokens), int(demand.Requests * requestUnits), int(demand.MemoryTokens)}
		if demand.SharedTokens > 0 {
			form = append(form, int(demand.SharedTokens), int(demand.SharedUnread))
		}
		rendered[service] = form
	}
	return rendered
}

func renderRegions(regions map[string]map[string]worker.Demand) map[string]map[string]wireDemand {
	var rendered map[string]map[string]wireDemand
	for region, demands := range regions {
		if rendered == nil {
			rendered = make(map[string]map[string]wireDemand, len(regions))
		}
		rendered[region] = renderDemand(demands)
	}
	return rendered
}

func parseRegions(rendered map[string]map[string]wireDemand) map[string]map[string]worker.Demand {
	var regions map[string]map[string]worker.Demand
	for region, forms := range rendered {
		if regions == nil {
			regions = make(map[string]map[string]worker.Demand, len(rendered))
		}
		regions[region] = parseDemand(forms)
	}
	return regions
}

func parseDemand(rendered map[string]wireDemand) map[string]worker.Demand {
	var demands map[string]worker.Demand
	for service, form := range rendered {
		if demands == nil {
			demands = make(map[string]worker.Demand, len(rendered))
		}
		demands[service] = form.demand()
	}
	return demands
}

// demand returns the demand; figures that the form lacks are zero.
func (w wireDemand) demand() worker.Demand {
	var figures [sharedDemandFigures]float64
	for i, figure := range w[:min(len(w), len(figures))] {
		figures[i] = float64(figure)
	}
	return worker.Demand{
		ReadTokens: figures[0], Requests: figures[1] / requestUnits, MemoryTokens: figures[2],
		SharedTokens: figures[demandFigures], SharedUnread: figures[demandFigures+1],
	}
}

const partBase = 16

// newMessage adds a snapshot to a message.
func newMessage(message Message, snapshot worker.Snapshot) Message {
	message.Failures = snapshot.Failures
	message.Demand, message.RegionDemand = renderDemand(snapshot.Demand), renderRegions(snapshot.RegionDemand)
	if len(snapshot.Loads) > 0 {
		message.Loads = make(map[string][]int, len(snapshot.Loads))
	}
	for id, load := range snapshot.Loads {
		message.Loads[id] = renderLoad(load)
	}
	for _, changing := range snapshot.Changing {
		if message.StageChanges == nil {
			message.StageChanges = make(map[string]int64)
		}
		left := changing.Left.Milliseconds()
		if !changing.Prefill {
			left = -left
		}
		message.StageChanges[changing.Worker] = left
	}
	message.CacheUpdates = renderCacheUpdates(snapshot.CacheUpdates)
	message.Prefills = renderPrefills(snapshot.Prefills)
	message.Limits = renderLimits(snapshot.Limits, time.Now())
	message.Draining = snapshot.Draining
	message.Readings = renderReadings(snapshot.Readings)
	message.Slowdowns = renderSlowdowns(snapshot.Hosts, time.Now())
	message.Streams = renderStreams(snapshot.Streams)
	return message
}

func renderCacheUpdates(updates []worker.CacheUpdate) []string {
	var rendered []string
	for _, update := range updates {
		rendered = append(rendered, renderCacheUpdate(update))
	}
	return rendered
}

func renderLoad(load worker.Load) []int {
	figures := append([]int{load.Requests, load.MemoryTokens}, load.Unread[:]...)
	for len(figures) > 0 && figures[len(figures)-1] == 0 {
		figures = figures[:len(figures)-1]
	}
	return figures
}

// parseLoad decodes a load. Values past the last rank, which only a later version would send,
// are added to the last rank.
func parseLoad(figures []int) worker.Load {
	var load worker.Load
	for i, figure := range figures {
		switch i {
		case 0:
			load.Requests = figure
		case 1:
			load.MemoryTokens = figure
		default:
			load.Unread[min(i-2, worker.RankCount-1)] += figure
		}
	}
	return load
}

func renderCacheUpdate(update worker.CacheUpdate) string {
	return strings.Join(append([]string{update.Worker}, renderParts(update.Parts)...), " ")
}

func renderParts(parts []prefixcache.Part) []string {
	rendered := make([]string, 0, len(parts))
	for _, part := range parts {
		rendered = append(rendered, strconv.FormatUint(uint64(part.ID), partBase)+":"+strconv.Itoa(part.Tokens))
	}
	return rendered
}

// snapshot decodes the snapshot in a message.
func (m Message) snapshot() (worker.Snapshot, error) {
	snapshot := worker.Snapshot{
		Loads: make(map[string]worker.Load, len(m.Loads)), Failures: m.Failures,
		Demand: parseDemand(m.Demand), RegionDemand: parseRegions(m.RegionDemand),
	}
	for id, load := range m.Loads {
		snapshot.Loads[id] = parseLoad(load)
	}
	for id, left := range m.StageChanges {
		changing := worker.StageChange{Worker: id, Prefill: left > 0, Left: time.Duration(max(left, -left)) * time.Millisecond}
		snapshot.Changing = append(snapshot.Changing, changing)
	}
	for _, text := range m.CacheUpdates {
		update, err := parseCacheUpdate(text)
		if err != nil {
			return worker.Snapshot{}, err
		}
		snapshot.CacheUpdates = append(snapshot.CacheUpdates, update)
	}
	prefills, err := parsePrefills(m.Prefills)
	snapshot.Prefills = prefills
	return snapshot, err
}

func parseCacheUpdate(text string) (worker.CacheUpdate, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return worker.CacheUpdate{}, eris.New("a cache update names no worker")
	}
	parts, err := parseParts(fields[1:])
	return worker.CacheUpdate{Worker: fields[0], Parts: parts}, err
}

func parseParts(fields []string) ([]prefixcache.Part, error) {
	var parts []prefixcache.Part
	for _, field := range fields {
		id, tokens, found := strings.Cut(field, ":")
		number, idErr := strconv.ParseUint(id, partBase, 64)
		count, countErr := strconv.Atoi(tokens)
		if !found || idErr != nil || countErr != nil || count < 0 {
			return nil, eris.Errorf("prompt part %q is malformed", field)
		}
		parts = append(parts, prefixcache.Part{ID: prefixcache.PartID(number), Tokens: count})
	}
	return parts, nil
}

func decode(datagram []byte) (Message, error) {
	var message Message
	if err := json.Unmarshal(datagram, &message); err != nil {
		return Message{}, err
	}
	if message.Node == "" {
		return Message{}, eris.New("a message names no sender")
	}
	return message, nil
}
