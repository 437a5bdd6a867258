package fleetworker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

// Deliveries apply a delivery to a number of requests, of all workers that share them.
type Deliveries struct {
	delivery Delivery

	mu   sync.Mutex
	left int
}

// NewDeliveries applies a delivery to the next count requests, or to all if count is negative.
func NewDeliveries(delivery Delivery, count int) *Deliveries {
	return &Deliveries{delivery: delivery, left: count}
}

// next returns the delivery of the next request, false if it has none.
func (d *Deliveries) next() (Delivery, bool) {
	if d == nil {
		return Delivery{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left == 0 {
		return Delivery{}, false
	}
	d.left--
	return d.delivery, true
}

// SetDeliveries sets how the worker delivers its answers; nil means as net/http does.
func (w *Worker) SetDeliveries(deliveries *Deliveries) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliveries = deliveries
}

// nextDelivery returns the delivery of the next request, false if it has none.
func (w *Worker) nextDelivery() (Delivery, bool) {
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
	defer func() { _ = c.Close() }()
	sent := body[:min(delivery.Sent, len(body))]
	length := len(body)
	if delivery.EndMarked {
		length = len(sent)
	}
	writeHead(buffer.Writer, header, delivery.Framing, length)
	if method == http.MethodHead {
		sent = ""
	} else if delivery.Framing != ByChunks {
		_, _ = buffer.WriteString(sent)
	} else {
		if sent != "" {
			_, _ = fmt.Fprintf(buffer, "%x\r\n%s\r\n", len(sent), sent)
		}
		if len(sent) == length {
			_, _ = buffer.WriteString("0\r\n\r\n")
		}
	}
	_ = buffer.Flush()
	w.endDelivery(c, delivery.Closing)
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

func (w *Worker) endDelivery(c net.Conn, closing Closing) {
	switch closing {
	case Reset:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Silent:
		_, _ = io.Copy(io.Discard, c) // until the caller leaves
	case Crash:
		w.end()
	}
}
