package workerconn

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Verifier tells incarnations of workers apart that have the same name and address.
type Verifier interface {
	// IncarnationRequest returns the request that asks a worker for its incarnation, nil if the
	// worker doesn't tell it. It is called just before the request is sent. An error means that the
	// incarnation isn't in use any more.
	IncarnationRequest(key, address string) (*Request, error)
	// IsIncarnation reports whether an answer to it can be that of the incarnation.
	IsIncarnation(key string, status int, body []byte) bool
}

// SetVerifier sets how requests with Verify are kept from other incarnations. It must be called
// before any request is sent.
func (p *Pool) SetVerifier(verifier Verifier) { p.verifier = verifier }

// errOtherIncarnation means that a worker has started again under its name and address.
var errOtherIncarnation = eris.New("another incarnation of the worker has its address")

const (
	// verifyTimeout bounds the question for an incarnation.
	verifyTimeout = 500 * time.Millisecond
	// maxVerifyBytes bounds its answer.
	maxVerifyBytes = 64 << 10
)

// verify makes sure that a request with Verify goes to the incarnation that it is for. A connection
// ends with the process that accepted it, so it is verified once.
func (p *Pool) verify(ctx context.Context, key, address string, c *conn, request *Request) error {
	if !request.Verify || c.verified || p.verifier == nil {
		return nil
	}
	question, err := p.verifier.IncarnationRequest(key, address)
	if question == nil || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	status, body, err := c.ask(ctx, question)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	switch {
	case err != nil:
		return err
	case !p.verifier.IsIncarnation(key, status, body):
		return errOtherIncarnation
	}
	c.verified = true
	return nil
}

// ask sends a request on a connection that stays usable, and returns the whole answer.
func (c *conn) ask(ctx context.Context, request *Request) (status int, body []byte, err error) {
	response, _, err := c.roundTrip(ctx, request)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxVerifyBytes))
	switch {
	case err != nil:
		return 0, nil, cause(ctx, err)
	case len(body) == maxVerifyBytes:
		return 0, nil, eris.Errorf("the worker's answer about its incarnation has %d bytes or more", maxVerifyBytes)
	case response.Close || framingOf(http.MethodGet, response) == Unframed || c.buffered() > 0:
		return 0, nil, eris.New("the connection can't be used after the worker was asked for its incarnation")
	}
	return response.StatusCode, body, nil
}
