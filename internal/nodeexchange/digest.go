// Package digest exchanges between nodes what each has placed on the workers, so
// that every node places with the load of all. Each worker has homes, the nodes that keep
// its account: all others tell them what they place there, and ask them before they place
// more. In a small fleet each node is a home of every worker, and nobody need ask.
// Messages are JSON datagrams: a lost one is made up for by the next, since each holds
// all that its sender has placed on the receiver's workers.
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

// Message is one datagram. Names are short because bytes between zones are dear.
type Message struct {
	// Node is the sender's incarnation.
	Node string `json:"n"`
	// Sequence rises with each message of an incarnation; words and news have numbers of
	// their own.
	Sequence uint64 `json:"s"`
	// Loads holds, by worker: requests, memory tokens, and tokens to be read by rank,
	// without the zeros at the end.
	Loads map[string][]int `json:"l,omitempty"`
	// CacheUpdates hold "worker part:tokens part:tokens …", parts in hexadecimal.
	CacheUpdates []string `json:"r,omitempty"`
	// Failures are workers that failed.
	Failures []string `json:"f,omitempty"`
	// StageChanges hold, by worker, for how many milliseconds a change of its stage may be
	// under way, negative for a change to decode.
	StageChanges map[string]int64 `json:"o,omitempty"`
	// Limits hold, by worker, what it said to the sender of the requests that it takes.
	Limits map[string]wireLimit `json:"lm,omitempty"`
	// Draining are workers that told the sender of their end lately.
	Draining []string `json:"dw,omitempty"`
	// Turns asks for, answers or reports requests to workers that take no more than so many a
	// second; such a message holds nothing else.
	Turns *quotaMessage `json:"tn,omitempty"`
	// Demand holds, by service, what the sender's callers want: tokens of prompts to be
	// read in a second, thousandths of requests that run, and their tokens of memory.
	Demand map[string]wireDemand `json:"d,omitempty"`
	// RegionDemand holds the same by region, in a deployment in several.
	RegionDemand map[string]map[string]wireDemand `json:"dr,omitempty"`
	// WantMemory asks the receiver for what it has learned of these workers.
	WantMemory []string `json:"b,omitempty"`
	// Memory tells that Reads and Paces are an answer to that, and Told of which workers
	// all was told.
	Memory         bool     `json:"m,omitempty"`
	MemoryComplete []string `json:"e,omitempty"`
	// Paces are learned reading paces.
	Paces []worker.Pace `json:"p,omitempty"`
	// Zone is the sender's, told at rest only.
	Zone string `json:"z,omitempty"`
	// Words are on the tables of the store; such a message holds nothing else.
	Words []tablerelay.Announcement `json:"t,omitempty"`
	// CreatedMillis is when the maker of words made the message, in milliseconds of its clock since boot.
	CreatedMillis int64 `json:"tm,omitempty"`
	// WantWords asks the receiver for its words.
	WantWords bool `json:"u,omitempty"`
	// News are changes of a table, packed; such a message holds nothing else.
	News []byte `json:"w,omitempty"`
	// Relayed tells that words or news were passed on by the sender, Across that the
	// receiver is to pass them on in its region, and InZone that it is to in its zone, also
	// where it knows nodes which it takes for the zone's heads.
	Relayed       bool `json:"y,omitempty"`
	RelayInRegion bool `json:"yr,omitempty"`
	RelayInZone   bool `json:"yz,omitempty"`
	// RelayGroups is the number of groups of the zone's nodes where the receiver is to pass the
	// message on in its own, zero where it isn't.
	RelayGroups int `json:"yg,omitempty"`
	// Contents hold "content worker tokens": what workers keep that others may share.
	Contents []string `json:"c,omitempty"`
	// Question asks for accounts of workers, and Reply answers that.
	Question *question `json:"q,omitempty"`
	Reply    *reply    `json:"v,omitempty"`
	// Usage tells what the sender has counted, UsageReply what arrived of it. WantUsage asks
	// a supervisor for what it has gathered after a window, and Gathered is a part of that.
	Usage      *wireUsage    `json:"g,omitempty"`
	UsageReply *usageReply   `json:"h,omitempty"`
	WantUsage  usage.Window  `json:"j,omitempty"`
	Gathered   *wireGathered `json:"k,omitempty"`
	// Departed are nodes that are gone for good; such a message holds nothing else.
	Departed []netip.AddrPort `json:"dp,omitempty"`
	// Quota asks for, answers or reports the use of tenants' quotas; such a message holds
	// nothing else.
	Quota *quotaMessage `json:"i,omitempty"`
	// Suspects are requests under which workers ended; such a message holds nothing else.
	Suspects []quarantine.Record `json:"sp,omitempty"`
	// SteppedBack tells that the sender can't give orders, whatever its incarnation.
	SteppedBack bool `json:"a,omitempty"`
	// Leaving tells that the sender stops.
	Leaving bool `json:"x,omitempty"`
}

// wireDemand is a worker.Demand in whole numbers: read tokens, thousandths of
// requests, tokens of memory.
type wireDemand [3]int

// requestUnits is the fineness of the requests in a demand.
const requestUnits = 1000

func renderDemand(demands map[string]worker.Demand) map[string]wireDemand {
	var rendered map[string]wireDemand
	for service, demand := range demands {
		if rendered == nil {
			rendered = make(map[string]wireDemand, len(demands))
		}
		rendered[service] = wireDemand{int(demand.ReadTokens), int(demand.Requests * requestUnits), int(demand.MemoryTokens)}
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
		demands[service] = worker.Demand{
			ReadTokens: float64(form[0]), Requests: float64(form[1]) / requestUnits, MemoryTokens: float64(form[2]),
		}
	}
	return demands
}

const partBase = 16

// newMessage renders a snapshot into a message.
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
	message.CacheUpdates = renderReads(snapshot.CacheUpdates)
	message.Limits = renderLimits(snapshot.Limits, time.Now())
	message.Draining = snapshot.Draining
	return message
}

func renderReads(reads []worker.CacheUpdate) []string {
	var rendered []string
	for _, read := range reads {
		rendered = append(rendered, renderRead(read))
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

// parseLoad reads a load. Figures past the last rank, which only a later version
// would send, count as the last rank.
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

func renderRead(read worker.CacheUpdate) string {
	return strings.Join(append([]string{read.Worker}, renderParts(read.Parts)...), " ")
}

func renderParts(parts []prefixcache.Part) []string {
	rendered := make([]string, 0, len(parts))
	for _, part := range parts {
		rendered = append(rendered, strconv.FormatUint(uint64(part.ID), partBase)+":"+strconv.Itoa(part.Tokens))
	}
	return rendered
}

// snapshot reads a message.
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
		read, err := parseRead(text)
		if err != nil {
			return worker.Snapshot{}, err
		}
		snapshot.CacheUpdates = append(snapshot.CacheUpdates, read)
	}
	return snapshot, nil
}

func parseRead(text string) (worker.CacheUpdate, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return worker.CacheUpdate{}, eris.New("a read without a worker")
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
			return nil, eris.Errorf("part %q of a prompt is malformed", field)
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
		return Message{}, eris.New("a digest without its sender")
	}
	return message, nil
}
