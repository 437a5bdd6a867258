package httphead

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// fixedConn is a connection on which fixed bytes come, and then its end.
type fixedConn struct {
	net.Conn
	content *bytes.Reader
}

func (c fixedConn) Read(buffer []byte) (int, error) { return c.content.Read(buffer) }
func (c fixedConn) Close() error                    { return nil }

// readHead reads a head from bytes, and returns it with the bytes of it and of the interim answers before it.
func readHead(content []byte, bufferBytes int, header http.Header) (*http.Response, []byte, error) {
	c := fixedConn{content: bytes.NewReader(content)}
	reader := NewReader(c, bufferBytes)
	response, err := reader.ReadHead(&http.Request{Method: http.MethodGet, Header: header})
	return response, content[:len(content)-c.content.Len()-reader.Buffered()], err
}

var (
	// statusLine and fieldLine are lines of a head in the protocol (RFC 9112, sections 4 and 5). Blanks may stand for
	// the one before a status, and a line end without a return.
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9][0-9]([ \t][^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+:|[ \t])[^\x00-\x08\x0a-\x1f\x7f]*$")
)

// inProtocol reports whether bytes are one or more heads.
func inProtocol(heads []byte) bool {
	begins := true
	for line := range strings.Lines(string(heads)) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		switch {
		case begins && !statusLine.MatchString(line), !begins && line != "" && !fieldLine.MatchString(line):
			return false
		}
		begins = line == ""
	}
	return begins && len(heads) > 0
}

// FuzzReadHead: what is taken for a head is one in the protocol, in buffers that it fits in and in others.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.0 200 OK\r\nX-A: b\r\n c\r\n\r\nok",
		"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nA: \x01\r\n\r\n", "HTTP/2.0 200 OK\n\n", "HTTP/1.1 999 A\n\n",
		"HTTP/1.1 200 O\x01K\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, bufferBytes := range []int{16, 4096} {
			if _, head, err := readHead(content, bufferBytes, nil); err == nil && !inProtocol(head) {
				t.Errorf("%q is taken for a head", head)
			}
		}
	})
}

func TestSwitchOfProtocolsIsTakenIfAskedFor(t *testing.T) {
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
	for asked, taken := range map[string]bool{"": false, "third": false, "other": true} {
		_, _, err := readHead([]byte(head), 4096, http.Header{"Upgrade": {asked}})
		if (err == nil) != taken {
			t.Errorf("%q was asked for: %v", asked, err)
		}
	}
}

// TestBodyBehindAHeadOfHTTP10 guards against bytes that are lost or repeated where a head is recorded.
func TestBodyBehindAHeadOfHTTP10(t *testing.T) {
	body := strings.Repeat("0123456789", 1000)
	for _, filler := range []int{0, 10, 4000, 9000} {
		c := fixedConn{content: bytes.NewReader([]byte("HTTP/1.0 200 OK\r\nX-A: " + strings.Repeat("a", filler) + "\r\n\r\n" + body))}
		response, err := NewReader(c, 4096).ReadHead(&http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
			t.Errorf("a head with %d bytes of filler: %d bytes of %d, %v", filler, len(got), len(body), err)
		}
	}
}

func TestTransportRejectsWhatIsNoAnswer(t *testing.T) {
	for content, isAnswer := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                 true,
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":                 false,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok":     false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":                false,
		"HTTP/1.1 700 OK\r\nContent-Length: 2\r\n\r\nok":                 false,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\nok":   false,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok":                 true,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": false,
	} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, content)
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		}()
		client := http.Client{Transport: Transport(&http.Transport{})}
		response, err := client.Get("http://" + listener.Addr().String())
		if (err == nil) != isAnswer {
			t.Errorf("%q: %v", content, err)
		}
		if err == nil {
			_ = response.Body.Close()
		}
		client.CloseIdleConnections()
		_ = listener.Close()
	}
}
