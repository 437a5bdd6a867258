package fleetworker

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Framing is how a worker marks the end of an answer's body.
type Framing string

// The framings that a worker can use.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	// ByClose answers end with their connection.
	ByClose Framing = "close"
	// HTTP10 answers are of HTTP/1.0, and end with their connection.
	HTTP10 Framing = "HTTP/1.0"
)

// Closing is what becomes of the connection after what was sent of an answer.
type Closing string

// The ways in which a connection ends.
const (
	Orderly Closing = "orderly"
	Reset   Closing = "reset"
	// Silent connections stay open, and nothing comes any more.
	Silent Closing = "silent"
	// Crash ends the worker with all its connections, which are closed in order.
	Crash Closing = "crash"
)

// Delivery is how a worker delivers the answer to a request that it runs.
type Delivery struct {
	Framing Framing
	// Sent is how many bytes of the body are sent, all if it is larger than the body.
	Sent int
	// EndMarked marks the end of what is sent as the end of the answer.
	EndMarked bool
	// Closing applies after that.
	Closing Closing
}

// Deliveries apply deliveries to a number of requests, of all workers that share them.
type Deliveries struct {
	mu   sync.Mutex
	pick func() Delivery
	left int
}

// NewDeliveries applies a delivery to the next count requests, or to all if count is negative.
func NewDeliveries(delivery Delivery, count int) *Deliveries {
	return &Deliveries{pick: func() Delivery { return delivery }, left: count}
}

// DeliveriesInOrder applies each delivery to one request, one after the other.
func DeliveriesInOrder(deliveries ...Delivery) *Deliveries {
	d := &Deliveries{left: len(deliveries)}
	d.pick = func() Delivery { return deliveries[len(deliveries)-1-d.left] }
	return d
}

// RandomDeliveries applies random deliveries to all requests. Two thirds of the answers are
// whole. The others end after up to most bytes.
func RandomDeliveries(random *rand.Rand, most int) *Deliveries {
	pick := func() Delivery {
		delivery := Delivery{
			Framing: []Framing{ByLength, ByChunks, ByClose, HTTP10}[random.IntN(4)],
			Closing: Orderly, Sent: math.MaxInt,
		}
		if random.IntN(3) == 0 {
			delivery.Sent = random.IntN(most)
			delivery.Closing = []Closing{Orderly, Reset}[random.IntN(2)]
		}
		return delivery
	}
	return &Deliveries{pick: pick, left: -1}
}

// next returns the delivery of the next request, nil if it has none.
func (d *Deliveries) next() *Delivery {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left == 0 {
		return nil
	}
	d.left--
	delivery := d.pick()
	return &delivery
}

// MayPassForWhole reports whether nothing shows that what was sent of an answer, an event stream
// or a body without events, isn't all of it.
func (d Delivery) MayPassForWhole(sent string, isStream bool) bool {
	unframed := d.Framing == ByClose || d.Framing == HTTP10
	return unframed && d.Closing == Orderly && (!isStream || sent == "" || strings.HasSuffix(sent, "\n\n"))
}

// SetDeliveries sets how the worker delivers its answers; nil means as net/http does.
func (w *Worker) SetDeliveries(deliveries *Deliveries) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliveries = deliveries
}

// nextDelivery returns the delivery of the next request, nil if it has none.
func (w *Worker) nextDelivery() *Delivery {
	w.mu.Lock()
	deliveries := w.deliveries
	w.mu.Unlock()
	return deliveries.next()
}

// deliver sends an answer over the hijacked connection of a request.
func (w *Worker) deliver(writer http.ResponseWriter, method, body string, delivery Delivery) {
	header := writer.Header().Clone()
	c, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer w.closeDelivery(c)
	sent := body[:min(delivery.Sent, len(body))]
	length := len(body)
	if delivery.EndMarked {
		length = len(sent)
	}
	writeHead(buffer.Writer, header, delivery.Framing, length)
	if method != http.MethodHead {
		w.writeBody(buffer.Writer, sent, delivery.Framing, len(sent) == length)
	}
	_ = buffer.Flush()
	w.endDelivery(c, delivery.Closing)
}

// writeBody writes a body event by event.
func (w *Worker) writeBody(out *bufio.Writer, body string, framing Framing, isWhole bool) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		switch {
		case event == "":
			continue
		case framing == ByChunks:
			_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event)
		default:
			_, _ = out.WriteString(event)
		}
		_ = out.Flush()
		time.Sleep(w.options.Pause)
	}
	if framing == ByChunks && isWhole {
		_, _ = out.WriteString("0\r\n\r\n")
	}
}

func writeHead(out *bufio.Writer, header http.Header, framing Framing, length int) {
	version := "HTTP/1.1"
	switch framing {
	case ByLength:
		header.Set("Content-Length", fmt.Sprint(length))
	case ByChunks:
		header.Set("Transfer-Encoding", "chunked")
	case HTTP10:
		version = "HTTP/1.0"
	}
	_, _ = out.WriteString(version + " 200 OK\r\n")
	_ = header.Write(out)
	_, _ = out.WriteString("Connection: close\r\n\r\n")
}

// closeDelivery closes a connection on which an answer was delivered.
func (w *Worker) closeDelivery(c net.Conn) {
	_ = c.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, c)
}

func (w *Worker) endDelivery(c net.Conn, closing Closing) {
	switch closing {
	case Reset:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Silent:
		_, _ = io.Copy(io.Discard, c) // until the caller leaves
	case Crash:
		w.Crash()
	}
}
