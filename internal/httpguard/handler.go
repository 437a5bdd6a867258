package httpguard

import (
	"context"
	"io"
	"net/http"
	"time"
)

// handler counts the requests of a handler as under way.
func (g *Guard) handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c, ok := request.Context().Value(connKey{}).(*conn)
		if !ok {
			inner.ServeHTTP(writer, request)
			return
		}
		c.takeTurn(requestEffort)
		c.endTurnSoon()
		roomy := c.begin(request.ContentLength)
		defer c.finish()
		if !roomy {
			writer.Header().Set("Connection", "close")
			request = request.WithContext(context.WithValue(request.Context(), crowdedKey{}, true))
		}
		if request.Body != nil && request.Body != http.NoBody {
			request.Body = &turnBody{request.Body, c}
		}
		inner.ServeHTTP(writer, request)
	})
}

type crowdedKey struct{}

// Crowded reports whether there is no room for a request, so that it must be refused unread.
func Crowded(ctx context.Context) bool { return ctx.Value(crowdedKey{}) != nil }

// turnBody ends the turn of a connection soon after a read of a body: what the handler does with the body, that is
// sending it to a worker, belongs to the turn.
type turnBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *turnBody) Read(buffer []byte) (int, error) {
	defer b.conn.endTurnSoon()
	return b.ReadCloser.Read(buffer)
}

// Close implements io.Closer.
func (b *turnBody) Close() error {
	defer b.conn.endTurn()
	return b.ReadCloser.Close()
}

// Holding is the memory that is reserved for a request beside its head.
type Holding struct{ conn *conn }

// HoldingOf returns the holding of a request. It returns false if the server isn't guarded.
func HoldingOf(ctx context.Context) (Holding, bool) {
	c, guarded := ctx.Value(connKey{}).(*conn)
	return Holding{c}, guarded
}

// Reserve reserves memory until the request has been answered, or Release. It returns ErrNoRoom if there
// isn't that much.
func (h Holding) Reserve(bytes int64) error {
	h.conn.guard.mu.Lock()
	defer h.conn.guard.mu.Unlock()
	now := time.Now()
	if h.conn.reserveRequest(bytes, 0, now) {
		return nil
	}
	h.conn.refuse(NoRoomForBody, now)
	return ErrNoRoom
}

// Release gives back memory that isn't used any more.
func (h Holding) Release(bytes int64) {
	h.conn.guard.mu.Lock()
	defer h.conn.guard.mu.Unlock()
	h.conn.releaseRequest(bytes)
}
