package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/httphead"
	"github.com/tinarch/tinarch/internal/result"
)

const (
	maxReplyBytes = 4 << 20
	dialTimeout   = 500 * time.Millisecond
)

// Client sends requests and orders to engines over HTTP. It never retries, because only its
// caller knows whether a message may be sent again.
type Client struct {
	http *http.Client
}

// NewClient returns a client with one connection pool for all engines.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 512,
		MaxIdleConns:        8192,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
	return &Client{http: &http.Client{Transport: httphead.Transport(transport)}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NotSent reports whether err proves that nothing of a request reached the engine, because no
// connection was established.
func NotSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Start sends a request to the engine that the ticket names, and returns the stream of its
// answer. A *result.Error whose outcome is DidNotRun proves that the engine did not run the
// attempt; after any other error it may have run.
func (c *Client) Start(ctx context.Context, ticket Ticket, path string, body []byte) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ticket.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "building a request to %s", ticket.Engine)
	}
	// Without GetBody, the transport cannot send the request a second time on its own.
	request.GetBody = nil
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set(HeaderAttempt, string(ticket.Attempt))
	header.Set(HeaderIncarnation, string(ticket.Incarnation))
	header.Set(HeaderModel, ticket.Model)
	header.Set(HeaderVersion, ticket.Version)
	header.Set(HeaderAdapter, ticket.Adapter)
	header.Set(HeaderRole, string(ticket.Role))
	header.Set(HeaderPriority, strconv.Itoa(int(ticket.Priority)))
	return c.openStream(request, ticket.Engine)
}

// Resume reads the stream of an attempt that the engine has accepted, from the given event
// number on.
func (c *Client) Resume(ctx context.Context, address string, incarnation, attempt Identifier, from int) (io.ReadCloser, error) {
	url := fmt.Sprintf("http://%s/engine/v1/streams/%s?from=%d&incarnation=%s", address, attempt, from, incarnation)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "building a resume")
	}
	return c.openStream(request, address)
}

func (c *Client) openStream(request *http.Request, name string) (io.ReadCloser, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendError(err, name)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	return nil, readRefusal(response, name)
}

func sendError(err error, name string) error {
	if NotSent(err) {
		return result.New(result.NoEngine, "can't connect to engine %s: %v", name, err)
	}
	return result.New(result.EngineDown, "engine %s did not answer: %v", name, err)
}

func readRefusal(response *http.Response, name string) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	var refusal result.Error
	if json.Unmarshal(body, &refusal) != nil || refusal.Code == result.OK {
		return result.New(result.EngineDown, "engine %s answered status %d without a code", name, response.StatusCode)
	}
	return &refusal
}

// Cancel stops an attempt, and makes the engine refuse it if it arrives later.
func (c *Client) Cancel(ctx context.Context, address string, incarnation, attempt Identifier) (CancelReply, error) {
	var reply CancelReply
	path := fmt.Sprintf("/engine/v1/streams/%s?incarnation=%s", attempt, incarnation)
	err := c.call(ctx, http.MethodDelete, address, path, nil, &reply)
	return reply, err
}

// RefuseUnseen makes the engine refuse an attempt that it has not accepted yet. If it has
// accepted the attempt, the attempt goes on and the reply has Seen set.
func (c *Client) RefuseUnseen(ctx context.Context, address string, incarnation, attempt Identifier) (CancelReply, error) {
	var reply CancelReply
	path := fmt.Sprintf("/engine/v1/streams/%s?incarnation=%s&only_unseen=true", attempt, incarnation)
	err := c.call(ctx, http.MethodDelete, address, path, nil, &reply)
	return reply, err
}

// Status returns the engine's current status report.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, address, "/engine/v1/status", nil, &status)
	return status, err
}

// Order sends an order and returns the engine's status after it has accepted the order.
func (c *Client) Order(ctx context.Context, address string, order Order) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodPost, address, "/engine/v1/orders", order, &status)
	return status, err
}

// CacheEvents returns the cache events from the given sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	path := "/engine/v1/cache-events?from=" + strconv.FormatUint(from, 10)
	err := c.call(ctx, http.MethodGet, address, path, nil, &events)
	return events, err
}

// ExportKV returns the KV cache of an attempt's prompt.
func (c *Client) ExportKV(ctx context.Context, address string, incarnation, attempt Identifier) (KVExport, error) {
	var export KVExport
	path := fmt.Sprintf("/engine/v1/kv/%s?incarnation=%s", attempt, incarnation)
	err := c.call(ctx, http.MethodGet, address, path, nil, &export)
	return export, err
}

// ImportKV adds the KV cache of a prompt to an engine's cache.
func (c *Client) ImportKV(ctx context.Context, address string, export KVExport) error {
	return c.call(ctx, http.MethodPost, address, "/engine/v1/kv", export, nil)
}

func (c *Client) call(ctx context.Context, method, address, path string, body, reply any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return result.Wrap(err, result.Internal, "encoding a message to engine %s", address)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return result.Wrap(err, result.Internal, "building a message to engine %s", address)
	}
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return sendError(err, address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response, address)
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return result.New(result.EngineDown, "engine %s sent a reply that can't be read: %v", address, err)
	}
	return nil
}
