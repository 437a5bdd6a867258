package platform

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Objects is a fake of the object store.
type Objects struct {
	*service
	faultState
	mu      sync.Mutex
	content map[string][]byte
}

// StartObjects serves an object store at the address.
func StartObjects(address string) (*Objects, error) {
	o := &Objects{content: map[string][]byte{}}
	server, err := startService(address, http.HandlerFunc(o.serve))
	o.service = server
	return o, err
}

type s3Error struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeS3Error(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(s3Error{Code: code, Message: code})
}

func (o *Objects) serve(w http.ResponseWriter, r *http.Request) {
	if o.beforeRequest() {
		writeS3Error(w, http.StatusServiceUnavailable, "SlowDown")
		return
	}
	switch r.Method {
	case http.MethodPut:
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		o.mu.Lock()
		o.content[r.URL.Path] = content
		o.mu.Unlock()
		o.afterWrite()
	case http.MethodGet:
		o.mu.Lock()
		content, exists := o.content[r.URL.Path]
		o.mu.Unlock()
		if !exists {
			writeS3Error(w, http.StatusNotFound, "NoSuchKey")
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write(content)
	default:
		writeS3Error(w, http.StatusNotImplemented, "NotImplemented")
	}
}
