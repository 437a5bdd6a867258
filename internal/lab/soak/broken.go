package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// idPlace stands for the request's id in a broken answer.
const idPlace = "REQUEST"

const (
	brokenSigned = "X-Request-Id: " + idPlace + "\r\nX-Response-Signature: broken\r\n"
	brokenBody   = "id: 1\ndata: broken----\n\n"
	brokenSound  = "HTTP/1.1 200 OK\r\n" + brokenSigned + "Content-Length: 24\r\n\r\n" + brokenBody
)

// brokenAnswers are answers that aren't in the protocol, or that break off. None brings a whole event before it can
// be told, which a stream would rightly go on from.
var brokenAnswers = []string{
	"HTTP/1.1 000 None\r\n" + brokenSigned + "Content-Length: 24\r\n\r\n" + brokenBody,
	"HTTP/1.1 000 None\r\n\r\n" + brokenSound,
	"HTTP/1.1 999 None\r\n" + brokenSigned + "Content-Length: 24\r\n\r\n" + brokenBody,
	"HTTP/2.0 200 OK\r\n" + brokenSigned + "Content-Length: 24\r\n\r\n" + brokenBody,
	"HTTP/1.1 200 OK\r\n" + brokenSigned + "X Odd: 1\r\nContent-Length: 24\r\n\r\n" + brokenBody,
	"HTTP/1.1 200 OK\r\n" + brokenSigned + "Content-Length : 24\r\n\r\n" + brokenBody,
	"HTTP/1.1 200 OK\r\n" + brokenSigned + "Transfer-Encoding : chunked\r\n\r\n18\r\n" + brokenBody + "\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n" + brokenSigned + "Transfer-Encoding: chunked\r\n\r\n18\r\n" + brokenBody + "\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + brokenSigned + "Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n0\r\nX Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + brokenSigned + "Content-Len",
	"HTTP/1.1 200 OK\r\n",
}

// oddEntries are entries of another writer, which name no worker.
var oddEntries = []string{
	strings.Repeat("[", 100_000), `{"a":` + strings.Repeat("[", 9_998) + strings.Repeat("]", 9_998) + "}", "1e400", "\xff\x00", "",
	`{"Service":"plain","Address":"127.0.0.1:65536","Zone":"a","Slots":8,"State":"ready"}`,
	`{"Service":"plain","Address":"127.0.0.1:1","Zone":"a","Slots":1e400,"State":"ready"}`,
}

// sendBroken lists, for a time, a worker that answers each request with a broken answer, and an odd entry.
func (s *site) sendBroken(ctx context.Context, length time.Duration) string {
	service := []string{engines, plain}[s.random.IntN(2)]
	content := brokenAnswers[s.random.IntN(len(brokenAnswers))]
	reset := s.random.IntN(2) == 0
	id, err := s.listRaw(ctx, length, service, func(c net.Conn) { answerBroken(c, content, reset) })
	if err != nil {
		return err.Error()
	}
	odd := oddEntries[s.random.IntN(len(oddEntries))]
	s.store.PutBytes("servers", "odd-"+id, []byte(odd))
	return fmt.Sprintf("%s of %s answers %.60q for %v, then resets its connection: %v; an odd entry begins with %.40q", id, service, content, length, reset, odd)
}

// answerBroken answers the first request of a caller on a connection. The nodes' own questions get 404.
func answerBroken(c net.Conn, content string, reset bool) {
	for reader := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if strings.HasPrefix(request.URL.Path, "/v1/") {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(content, idPlace, request.Header.Get("X-Request-Id")))
		if tcp, isTCP := c.(*net.TCPConn); isTCP && reset {
			time.Sleep(time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		return
	}
}

// brokenViolations returns the promises that are broken if a caller got a broken answer, or a process ended by itself.
func (s *site) brokenViolations(seen []observation) []string {
	var violations []string
	for _, got := range seen {
		if got.header.Get("X-Response-Signature") == "broken" && got.err == nil {
			violations = append(violations, fmt.Sprintf("%s %s: got a broken answer as a success (status %d, %q)", got.class.name, got.id, got.status, got.body))
		}
	}
	for _, node := range s.nodes {
		if count := node.Panics(); count > 0 {
			violations = append(violations, fmt.Sprintf("%s ended by itself %d times", node.Name, count))
		}
	}
	return violations
}
