// Package fleetworker is a stand-in for the workers of the users' platform, model
// engines in two stages and others, speaking the platform's protocol. It counts
// what it ran, and can be told to fail.
package fleetworker

import (
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
)

// Fault is what a worker does with requests.
type Fault string

// The faults.
const (
	NoFault Fault = ""
	// Full rejects requests without running them.
	Full Fault = "full"
	// Failing answers 500 after it ran.
	Failing Fault = "failing"
	// CutEarly ends the connection after it ran, before any answer.
	CutEarly Fault = "cut early"
	// CutMidway ends the connection within the answer.
	CutMidway Fault = "cut midway"
	// Hanging runs and says nothing.
	Hanging Fault = "hanging"
	// LosesHandles forgets prompts that it read apart at once.
	LosesHandles Fault = "lapsing"
)

// Options describe a worker.
type Options struct {
	ID      string
	Service string
	Zone    string
	// Stage is empty for workers that aren't model engines.
	Stage string
	Slots int
	// Events is the length of streams.
	Events int
	// Pause is the time between events.
	Pause time.Duration
	// OnStageChange is told of each stage to which the worker was ordered, for its entry in the
	// platform's list. It may be nil.
	OnStageChange func(w *Worker)
	// CachedParts are parts of prompts that the worker says it keeps, with their tokens.
	CachedParts map[string]int
	// Born is when the worker started in Unix milliseconds; it doesn't tell where it is zero.
	Born int64
	// Address is where the worker listens; any port where it is empty.
	Address string
	// CrashOn has the worker crash as soon as it runs a request whose body holds this text,
	// with all that it runs beside; Crashed is told of it before the first connection breaks
	// off, and must return. Both may be empty.
	CrashOn string
	OnCrash func(w *Worker)
	// OnPrefill is told of each prompt that is read apart, before that is answered; it may be nil.
	OnPrefill func(id string)
}

// Run is a request that a worker worked on.
type Run struct {
	ID     string
	Worker string
	Target string
	Header http.Header
	Body   []byte
	// At is when the worker began.
	At time.Time
}

// Worker is a running stand-in.
type Worker struct {
	options Options
	server  *httptest.Server
	fences  *fences.Log

	crashed sync.Once

	mu      sync.Mutex
	fault   Fault
	faulty  int
	stage   string
	runs    []Run
	handles map[string]bool
	freed   int
	left    int
	lists   int
	orders  int
	// limit is what the worker names in its answers, empty where it names none, and arrivals
	// are the requests that came, of all kinds.
	limit    string
	arrivals []Arrival
	// leaving tells that the worker's answers say it is about to end, and pause is the time in
	// seconds for which it asks to be left alone in each rejection, all requests being rejected;
	// empty where it takes them.
	leaving bool
	pause   string
	// carried is the highest fence of the orders carried out, and lateOrders how long
	// orders are left unanswered before they are.
	carried    uint64
	lateOrders time.Duration
}

// Start runs a worker on a port of its own.
func Start(options Options) *Worker {
	if options.Slots == 0 {
		options.Slots = 8
	}
	if options.Events == 0 {
		options.Events = 4
	}
	w := &Worker{options: options, stage: options.Stage, handles: make(map[string]bool), fences: fences.New()}
	w.server = httptest.NewUnstartedServer(w)
	if options.Address != "" {
		w.listen(options.Address)
	}
	w.server.Start()
	return w
}

// listen has the worker listen at an address that an earlier one has left.
func (w *Worker) listen(address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		panic(fmt.Sprintf("fleetworker: %v", err))
	}
	_ = w.server.Listener.Close()
	w.server.Listener = listener
}

// Address returns IP:PORT.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// ID returns the worker's id.
func (w *Worker) ID() string { return w.options.ID }

// Close ends the worker at once.
func (w *Worker) Close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// SetFault makes the next count requests fail so; a negative count means all.
func (w *Worker) SetFault(fault Fault, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.faulty = fault, count
}

// Runs returns what the worker worked on, prompts read apart not among it.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// CallersGone counts requests whose caller had gone before their end.
func (w *Worker) CallersGone() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// FreedHandles counts the handles that were freed without being taken.
func (w *Worker) FreedHandles() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freed
}

// Entry is the worker's row in the platform's list.
func (w *Worker) Entry(state string) map[string]any {
	entry := map[string]any{
		"Service": w.options.Service, "Address": w.Address(), "Zone": w.options.Zone,
		"Version": "v1", "Slots": w.options.Slots, "State": state, "ColdRemainingMs": 0, "Seq": 1,
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

// Signature is what the worker puts under its answer to a request.
func (w *Worker) Signature(id string) string {
	sum := sha256.Sum256([]byte(w.options.ID + " " + id))
	return hex.EncodeToString(sum[:8])
}

// Body is the whole answer to a request, after an event.
func Body(id string, events, after int) string {
	var out strings.Builder
	for event := after + 1; event <= events; event++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s.%d\n\n", event, id, event)
	}
	return out.String()
}

// takeFault returns the fault of the next request.
func (w *Worker) takeFault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faulty == 0 {
		return NoFault
	}
	w.faulty--
	return w.fault
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Request-Id")
	if request.Header.Get("X-Taken") == "" { // else another worker fetches
		w.arrive(writer, id)
	}
	writer.Header().Set("X-Request-Id", id)
	writer.Header().Set("X-Instance-Id", w.options.ID)
	switch {
	case request.Method == http.MethodDelete && strings.HasPrefix(request.URL.Path, "/v1/kv-handle/"):
		if w.drop(strings.TrimPrefix(request.URL.Path, "/v1/kv-handle/"), request.Header.Get("X-Taken") == "") {
			writer.Header().Set("X-Handle-Known", "1")
		}
		return
	case request.URL.Path == "/v1/kv-list":
		w.list(writer)
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
	fault := w.takeFault()
	if w.pauses(writer) || fault == Full {
		reject(writer)
		return
	}
	if request.Header.Get("X-Stage") == "prefill" {
		w.read(writer, id, fault)
		return
	}
	if source := request.Header.Get("X-Kv-Source"); source != "" && !fetch(source) {
		reject(writer)
		return
	}
	w.run(writer, request, id, body, fault)
}

// report tells the worker's state.
func (w *Worker) report(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"Stage": w.currentStage(), "Busy": false, "Waiting": 0, "Running": 0})
}

// list tells what the worker keeps: the parts that its options name.
func (w *Worker) list(writer http.ResponseWriter) {
	w.mu.Lock()
	w.lists++
	w.mu.Unlock()
	held := [][]any{}
	for id, tokens := range w.options.CachedParts {
		held = append(held, []any{"", id, tokens, "m"})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"epoch": 1, "NextPageToken": 1, "held": held})
}

// ListCalls counts how often the worker was asked what it keeps.
func (w *Worker) ListCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lists
}

// reject answers that the request was not run, and nothing else.
func reject(writer http.ResponseWriter) {
	writer.Header().Del("Server-Limit")
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// read keeps a prompt under a handle.
func (w *Worker) read(writer http.ResponseWriter, id string, fault Fault) {
	if fault == CutEarly {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	if fault != LosesHandles {
		w.handles["h"+id] = true
	}
	w.mu.Unlock()
	if w.options.OnPrefill != nil {
		w.options.OnPrefill(id)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"KvHandle": "h" + id, "Tokens": 1, "Version": 1})
}

// fetch takes the prompt that another worker keeps.
func fetch(source string) bool {
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

// drop forgets a handle, and reports whether it was known.
func (w *Worker) drop(handle string, unused bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.handles[handle]
	delete(w.handles, handle)
	if known && unused {
		w.freed++
	}
	return known
}

func (w *Worker) run(writer http.ResponseWriter, request *http.Request, id string, body []byte, fault Fault) {
	w.mu.Lock()
	w.runs = append(w.runs, Run{ID: id, Worker: w.options.ID, Target: request.RequestURI, Header: request.Header.Clone(), Body: body, At: time.Now()})
	running := len(w.runs)
	w.mu.Unlock()
	if w.crashesOn(body) {
		w.crash()
	}
	switch fault {
	case CutEarly:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-request.Context().Done()
		w.leave()
		return
	}
	writer.Header().Set("X-Response-Signature", w.Signature(id))
	writer.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(running, 1), w.options.Slots))
	if fault == Failing {
		writer.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(writer, "failed")
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.stream(writer, request, id, after, fault)
}

func (w *Worker) stream(writer http.ResponseWriter, request *http.Request, id string, after int, fault Fault) {
	if w.options.Stage != "" {
		writer.Header().Set("Content-Type", "text/event-stream")
	}
	controller := http.NewResponseController(writer)
	for event := after + 1; event <= w.options.Events; event++ {
		text := Body(id, event, event-1)
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
			w.leave()
			return
		case <-time.After(w.options.Pause):
		}
	}
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left++
}
