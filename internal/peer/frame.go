// Package peer implements the protocol between tinarch's nodes: typed requests, answers and
// notices as JSON lines over TCP, with optional mutual TLS. All calls from one node to another
// share one connection.
package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/tinarch/tinarch/internal/result"
)

// ProtocolVersion is sent in the greeting. A node refuses connections of nodes with another
// version.
const ProtocolVersion = 1

// MaxLineBytes is the maximum length of a line.
const MaxLineBytes = 8 << 20

type frameType string

const (
	frameHello    frameType = "hello"
	frameRequest  frameType = "request"
	frameResponse frameType = "response"
	frameNotice   frameType = "notice"
	frameCancel   frameType = "cancel"
)

// Method names a request or notice.
type Method string

// Identity is how a node identifies itself in its greeting.
type Identity struct {
	Cluster     string `json:"cluster"`
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone,omitempty"`
}

// frame is one message, encoded as one line.
type frame struct {
	Type    frameType       `json:"type"`
	Version int             `json:"version,omitempty"`
	Hello   *Identity       `json:"hello,omitempty"`
	ID      uint64          `json:"id,omitempty"`
	Method  Method          `json:"method,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
	Error   *result.Error   `json:"error,omitempty"`
}

// lineReader reads frames from a connection.
type lineReader struct {
	buffered *bufio.Reader
	line     []byte
}

func newLineReader(source io.Reader) *lineReader {
	return &lineReader{buffered: bufio.NewReaderSize(source, bufferBytes)}
}

// next reads one frame. If the line is malformed, the error is a *result.Error; any other error
// comes from the connection.
func (r *lineReader) next() (frame, error) {
	r.line = r.line[:0]
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.line = append(r.line, part...)
		if len(r.line) > MaxLineBytes {
			return frame{}, result.New(result.PeerProtocol, "a line is longer than %d bytes", MaxLineBytes)
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return frame{}, err
		}
	}
	return decodeFrame(r.line)
}

func decodeFrame(line []byte) (frame, error) {
	var decoded frame
	if err := json.Unmarshal(line, &decoded); err != nil {
		return frame{}, result.New(result.PeerProtocol, "a line is not a message: %v", err)
	}
	switch decoded.Type {
	case frameHello:
		if decoded.Hello == nil {
			return frame{}, result.New(result.PeerProtocol, "a greeting without identity")
		}
	case frameRequest:
		if decoded.ID == 0 || decoded.Method == "" {
			return frame{}, result.New(result.PeerProtocol, "a request without id or method")
		}
	case frameResponse, frameCancel:
		if decoded.ID == 0 {
			return frame{}, result.New(result.PeerProtocol, "a %s without id", decoded.Type)
		}
	case frameNotice:
		if decoded.Method == "" {
			return frame{}, result.New(result.PeerProtocol, "a notice without method")
		}
	default:
		return frame{}, result.New(result.PeerProtocol, "unknown message type %q", decoded.Type)
	}
	return decoded, nil
}

func encodeFrame(f frame) ([]byte, error) {
	line, err := json.Marshal(f)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encoding a %s", f.Type)
	}
	return append(line, '\n'), nil
}
