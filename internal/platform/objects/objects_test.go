package objects

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestObjectWithoutLengthIsNotTakenForComplete: an object whose connection ended early is read as a shorter one.
func TestObjectWithoutLengthIsNotTakenForComplete(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = w.Write([]byte("the first part"))
	}))
	defer store.Close()
	client := New(Settings{
		Endpoint: store.URL, Region: "r", Bucket: "b", AccessKey: "a", SecretKey: "s",
		RequestsPerSecond: 100, Total: 500 * time.Millisecond,
	})
	content, err := client.Get(context.Background(), "name")
	if err == nil || !strings.Contains(err.Error(), "length") {
		t.Errorf("%q, %v", content, err)
	}
}
