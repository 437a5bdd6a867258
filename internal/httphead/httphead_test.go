package httphead

import (
	"bytes"
	"net"
	"net/http"
	"testing"
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

func TestSwitchOfProtocolsIsTakenIfAskedFor(t *testing.T) {
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
	for asked, taken := range map[string]bool{"": false, "third": false, "other": true} {
		_, _, err := readHead([]byte(head), 4096, http.Header{"Upgrade": {asked}})
		if (err == nil) != taken {
			t.Errorf("%q was asked for: %v", asked, err)
		}
	}
}
