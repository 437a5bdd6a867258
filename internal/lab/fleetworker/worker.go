// Package fleetworker is a fake of the platform's workers for tests: model engines with a
// prefill or decode stage, and workers without a stage. It speaks the platform's protocol,
// records the requests that it ran, and can inject faults.
package fleetworker

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fences"
	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// Fault is a way in which a worker fails requests.
type Fault string

// The faults that a worker can inject.
const (
	NoFault Fault = ""
	// Full rejects requests without running them.
	Full Fault = "full"
	// Failing runs the request and answers 500.
	Failing Fault = "failing"
	// CutEarly closes the connection after the request ran, before any answer.
	CutEarly Fault = "cut early"
	// CutMidway closes the connection in the middle of the answer.
	CutMidway Fault = "cut midway"
	// Hanging runs the request and never answers.
	Hanging Fault = "hanging"
	// LosesHandles answers a disaggregated prefill but keeps no KV handle for it, so that the
	// fetch by a decode engine fails.
	LosesHandles Fault = "lapsing"
)

// HealthPath is the path of a worker's health check.
const HealthPath = "/health"

// Options configure a worker.
type Options struct {
	ID      string
	Service string
	Zone    string
	// Stage is empty for workers that aren't model engines.
	Stage string
	Slots int
	// Events is the number of events in a streamed answer.
	Events int
	// Pause is the time between events.
	Pause time.Duration
	// OnStageChange, if not nil, is called after an order has changed the worker's stage, so
	// that its entry in the platform's worker list can be updated.
	OnStageChange func(w *Worker)
	// CachedParts maps the prompt parts that the worker reports as cached to their token
	// counts.
	CachedParts map[string]int
	// Born is when the worker started, in Unix milliseconds; zero leaves it out of the entry.
	Born int64
	// Address is the address to listen on; empty means any free port.
	Address string
	// Software is the version of the worker's software, "v1" if it is empty. If it is set, each
	// event of a stream shows it in a field (SoftwareField).
	Software string
	// CrashOn makes the worker crash, with everything else that it runs, as soon as it runs a
	// request whose body contains this text; empty means never. OnCrash, if not nil, is called
	// before the first connection is broken off, and must return.
	CrashOn string
	OnCrash func(w *Worker)
	// CrashOnPart makes the worker crash as soon as it runs a request with this part in its prompt,
	// other than as the last; empty means never. It writes CrashAfter events first.
	CrashOnPart string
	CrashAfter  int
	// PrefillRate is how many prompt tokens the worker reads a second, one prompt after the
	// other; zero means that it reads in no time.
	PrefillRate float64
	// OnPrefill, if not nil, is called with the request id of each disaggregated prefill before
	// it is answered.
	OnPrefill func(id string)
}

// Run is a request that a worker ran.
type Run struct {
	ID     string
	Worker string
	Target string
	Header http.Header
	Body   []byte
	// At is when the worker began to run it.
	At time.Time
	// Delivery is how its answer is delivered, nil for net/http's way.
	Delivery *Delivery
}

// Worker is a running fake worker.
type Worker struct {
	options Options
	server  *httptest.Server
	links   *linkcut.Listener
	fences  *fences.Log

	crashOnce sync.Once

	mu         sync.Mutex
	fault      Fault
	faultsLeft int
	// deliveries are how answers are delivered, nil for net/http's way.
	deliveries *Deliveries
	// connections are the open ones.
	connections  map[net.Conn]bool
	stage        string
	runs         []Run
	handles      map[string]bool
	freedHandles int
	callersGone  int
	listCalls    int
	orders       int
	// limit is the limit stated in answers, empty for none; arrivals records the requests of
	// all kinds that came.
	limit    string
	arrivals []Arrival
	// leaving makes the answers announce that the worker is about to end. If backoff isn't
	// empty, all requests are rejected with it as Retry-After, in seconds.
	leaving bool
	backoff string
	// highestFence is the highest fencing token of the orders carried out. lateOrders is how long
	// orders wait, unanswered, before they are carried out.
	highestFence uint64
	lateOrders   time.Duration
	// hostSlowdown is the factor that the worker states of its host, zero for none.
	hostSlowdown float64
	// cached holds the tokens of the prompt parts that were read; reader is held by the prompt
	// that is being read.
	cached map[string]int
	reader chan struct{}
}

// Start starts a worker on its configured address or a free port.
func Start(options Options) *Worker {
	if options.Slots == 0 {
		options.Slots = 8
	}
	if options.Events == 0 {
		options.Events = 4
	}
	w := &Worker{options: options, stage: options.Stage, handles: make(map[string]bool), fences: fences.New(),
		connections: make(map[net.Conn]bool), cached: make(map[string]int), reader: make(chan struct{}, 1)}
	w.server = httptest.NewUnstartedServer(w)
	w.server.Config.ConnState = w.trackConnection
	w.listen(options.Address)
	w.server.Start()
	return w
}

// listen makes the worker listen on an address, any free one if it is empty.
func (w *Worker) listen(address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := linkcut.Listen(address)
	if err != nil {
		panic(fmt.Sprintf("fleetworker: %v", err))
	}
	_ = w.server.Listener.Close()
	w.server.Listener, w.links = listener, listener
}

// Links returns the worker's listener, whose links to callers can be cut.
func (w *Worker) Links() *linkcut.Listener { return w.links }

// Address returns the worker's IP:PORT.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// ID returns the worker's id.
func (w *Worker) ID() string { return w.options.ID }

// Close stops the worker and closes its connections.
func (w *Worker) Close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// SetFault applies a fault to the next count requests, or to all if count is negative.
func (w *Worker) SetFault(fault Fault, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.faultsLeft = fault, count
}

// Runs returns the requests that the worker ran; disaggregated prefills don't count.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// CallersGone returns the number of requests whose caller disconnected before the answer was
// complete.
func (w *Worker) CallersGone() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callersGone
}

// FreedHandles returns the number of KV handles that were released without being fetched.
func (w *Worker) FreedHandles() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freedHandles
}

// Entry returns the worker's row in the platform's worker list, in the given state.
func (w *Worker) Entry(state string) map[string]any {
	entry := map[string]any{
		"Service": w.options.Service, "Address": w.Address(), "Zone": w.options.Zone,
		"Version": cmp.Or(w.options.Software, "v1"), "Slots": w.options.Slots, "State": state, "ColdRemainingMs": 0, "Seq": 1,
	}
	if w.options.Born != 0 {
		entry["born"] = w.options.Born
	}
	if stage := w.currentStage(); stage != "" {
		entry["Stage"] = stage
		entry["Models"] = []map[string]any{{"Name": "m", "Version": 1}}
	}
	return entry
}

// SoftwareField begins the line of an event that shows the software version of its worker.
const SoftwareField = "software: "

// event returns an event of the answer to a request.
func (w *Worker) event(id string, number int) string {
	text := Body(id, number, number-1)
	if w.options.Software == "" {
		return text
	}
	return SoftwareField + w.options.Software + "\n" + text
}

// Signature returns the signature of the worker's answer to a request. It depends on the worker
// and the request id, so that a check can tell whose answer a caller received.
func (w *Worker) Signature(id string) string {
	sum := sha256.Sum256([]byte(w.options.ID + " " + id))
	return hex.EncodeToString(sum[:8])
}

// Body returns the complete answer to a request, from the event that follows number after.
func Body(id string, events, after int) string {
	var out strings.Builder
	for event := after + 1; event <= events; event++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s.%d\n\n", event, id, event)
	}
	return out.String()
}

// nextFault returns the fault for the next request and counts it down.
func (w *Worker) nextFault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faultsLeft == 0 {
		return NoFault
	}
	w.faultsLeft--
	return w.fault
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Request-Id")
	if request.Header.Get("X-Taken") == "" { // X-Taken marks a fetch by another worker
		w.recordArrival(writer, request)
	}
	writer.Header().Set("X-Request-Id", id)
	writer.Header().Set("X-Instance-Id", w.options.ID)
	switch {
	case request.Method == http.MethodDelete && strings.HasPrefix(request.URL.Path, "/v1/kv-handle/"):
		if w.dropHandle(strings.TrimPrefix(request.URL.Path, "/v1/kv-handle/"), request.Header.Get("X-Taken") == "") {
			writer.Header().Set("X-Handle-Known", "1")
		}
		return
	case request.URL.Path == "/v1/kv-list":
		w.listCache(writer)
		return
	case request.URL.Path == HealthPath:
		w.setLoadHeader(writer.Header(), 0)
		return
	case request.Header.Get("X-Expect-Instance") != w.options.ID:
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/v1/order":
		w.order(writer, body)
		return
	case "/v1/report":
		w.report(writer)
		return
	}
	fault := w.nextFault()
	if w.rejectsForBackoff(writer) || fault == Full {
		reject(writer)
		return
	}
	if request.Header.Get("X-Stage") == "prefill" {
		w.prefill(writer, request, id, fault)
		return
	}
	if source := request.Header.Get("X-Kv-Source"); source != "" && !fetchKV(source) {
		reject(writer)
		return
	}
	w.run(writer, request, id, body, fault)
}

// report answers a request for the worker's state.
func (w *Worker) report(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "application/json")
	state := map[string]any{"Stage": w.currentStage(), "Busy": false, "Waiting": 0, "Running": 0}
	if w.options.Born != 0 {
		state["born"] = w.options.Born
	}
	_ = json.NewEncoder(writer).Encode(state)
}

// listCache answers with the cache list: the prompt parts in Options.CachedParts.
func (w *Worker) listCache(writer http.ResponseWriter) {
	w.mu.Lock()
	w.listCalls++
	w.mu.Unlock()
	held := [][]any{}
	for id, tokens := range w.options.CachedParts {
		held = append(held, []any{"", id, tokens, "m"})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"epoch": 1, "NextPageToken": 1, "held": held})
}

// ListCalls returns how often the worker was asked for its cache list.
func (w *Worker) ListCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listCalls
}

// reject answers that the request was not run, and states no limit.
func reject(writer http.ResponseWriter) {
	writer.Header().Del("Server-Limit")
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// prefill answers a disaggregated prefill and keeps its KV cache under a handle.
func (w *Worker) prefill(writer http.ResponseWriter, request *http.Request, id string, fault Fault) {
	if fault == CutEarly {
		panic(http.ErrAbortHandler)
	}
	if !w.readPrompt(request.Context(), request.Header.Get("X-Prompt-Prefix")) {
		return
	}
	w.mu.Lock()
	if fault != LosesHandles {
		w.handles["h"+id] = true
	}
	w.mu.Unlock()
	if w.options.OnPrefill != nil {
		w.options.OnPrefill(id)
	}
	w.setLoadHeader(writer.Header(), 0)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"KvHandle": "h" + id, "Tokens": 1, "Version": 1})
}

// fetchKV fetches, for a decode stage, the KV cache that another worker keeps under a handle,
// and reports whether that worker still had it.
func fetchKV(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	request, err := http.NewRequest(http.MethodDelete, "http://"+address+"/v1/kv-handle/"+handle, nil)
	if err != nil {
		return false
	}
	request.Header.Set("X-Taken", "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.Header.Get("X-Handle-Known") != ""
}

// dropHandle deletes a KV handle and reports whether it was known. unused tells that it is
// released without being fetched.
func (w *Worker) dropHandle(handle string, unused bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.handles[handle]
	delete(w.handles, handle)
	if known && unused {
		w.freedHandles++
	}
	return known
}

func (w *Worker) run(writer http.ResponseWriter, request *http.Request, id string, body []byte, fault Fault) {
	var delivery *Delivery
	if fault == NoFault {
		delivery = w.nextDelivery()
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{ID: id, Worker: w.options.ID, Target: request.RequestURI, Header: request.Header.Clone(), Body: body, At: time.Now(), Delivery: delivery})
	running := len(w.runs)
	w.mu.Unlock()
	crashes := w.crashesOn(body, request.Header.Get("X-Prompt-Prefix"))
	if crashes && w.options.CrashAfter == 0 {
		w.crash()
	}
	switch fault {
	case CutEarly:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-request.Context().Done()
		w.recordCallerGone()
		return
	}
	writer.Header().Set("X-Response-Signature", w.Signature(id))
	if request.Header.Get("X-Kv-Source") == "" && !w.readPrompt(request.Context(), request.Header.Get("X-Prompt-Prefix")) {
		return
	}
	w.setLoadHeader(writer.Header(), running)
	if fault == Failing {
		writer.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(writer, "failed")
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if delivery != nil {
		if w.options.Stage != "" {
			writer.Header().Set("Content-Type", "text/event-stream")
		}
		w.deliver(writer, request.Method, Body(id, w.options.Events, after), *delivery)
		return
	}
	if crashes {
		w.crashMidway(writer, id)
	}
	w.stream(writer, request, id, after, fault)
}

func (w *Worker) stream(writer http.ResponseWriter, request *http.Request, id string, after int, fault Fault) {
	if w.options.Stage != "" {
		writer.Header().Set("Content-Type", "text/event-stream")
	}
	controller := http.NewResponseController(writer)
	for event := after + 1; event <= w.options.Events; event++ {
		text := w.event(id, event)
		if fault == CutMidway && event == after+1+w.options.Events/2 {
			_, _ = io.WriteString(writer, text[:len(text)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(writer, text)
		_ = controller.Flush()
		if w.options.Pause == 0 {
			continue
		}
		select {
		case <-request.Context().Done():
			w.recordCallerGone()
			return
		case <-time.After(w.options.Pause):
		}
	}
}

func (w *Worker) recordCallerGone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callersGone++
}
