// Package engine is the agent's HTTP client of the model engine on its host. Only
// this package depends on the engine's protocol, which is that of the stand-in
// engine described in docs/STANDINS.md.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/httphead"
	"github.com/egretreach/egretreach/internal/process/httpstatus"
)

const (
	tlsHandshakeTimeout = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConns        = 64
	maxResponseBytes    = 1 << 20
	maxRefusalBytes     = 64 << 10
	maxHeaderBytes      = 64 << 10
	jsonContentType     = "application/json"
)

// Options are the settings of a Client.
type Options struct {
	// URL is the engine's base URL; its host is an IP address.
	URL string
	// OrdererToken is the token sent with orders to an engine that authenticates
	// them. Empty sends none.
	OrdererToken string
	// Transport replaces the TCP transport, for tests.
	Transport http.RoundTripper
	// Wrap returns a transport around the given one, which observes the responses with a valid status. It is called for each transport that
	// the client uses, and may be nil.
	Wrap func(http.RoundTripper) http.RoundTripper
}

func (o Options) wrap(transport http.RoundTripper) http.RoundTripper {
	checked := httpstatus.Transport{Next: transport}
	if o.Wrap == nil {
		return checked
	}
	return o.Wrap(checked)
}

// Client is an HTTP client of one engine. Use New.
type Client struct {
	baseURL      string
	ordererToken string
	transport    http.RoundTripper
	// generation opens a connection for each generation, since on a kept one an engine may write the refusal of an
	// earlier request once more.
	generation http.RoundTripper
}

// New returns a client of the engine at opts.URL. It does not connect yet.
func New(opts Options) *Client {
	transport := opts.Transport
	if transport == nil {
		transport = NewTransport()
	}
	generation := transport
	if kept, ok := transport.(*http.Transport); ok {
		single := kept.Clone()
		single.DisableKeepAlives = true
		generation = single
	}
	return &Client{
		baseURL: strings.TrimSuffix(opts.URL, "/"), ordererToken: opts.OrdererToken,
		transport: opts.wrap(transport), generation: opts.wrap(generation),
	}
}

// NewTransport returns the transport for an engine.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         httphead.Checked((&net.Dialer{}).DialContext),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		TLSHandshakeTimeout: tlsHandshakeTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Load orders the engine to load the replica's model. The engine responds before
// the model is loaded; Report returns the progress.
func (c *Client) Load(ctx context.Context, r replica.Replica, head bool) error {
	order := Order{
		Action: ActionLoad, Replica: string(r.ID), Fence: uint64(r.Fence),
		Model: r.Spec.Model, Version: r.Spec.Version, Adapters: r.Spec.Adapters, Role: r.Spec.Role,
		Head: head,
	}
	for _, h := range r.Hosts {
		order.Members = append(order.Members, string(h))
	}
	return c.post(ctx, PathOrders, order)
}

// Release orders the engine to unload the replica's model.
func (c *Client) Release(ctx context.Context, r replica.Replica) error {
	return c.post(ctx, PathOrders, Order{Action: ActionRelease, Replica: string(r.ID), Fence: uint64(r.Fence)})
}

// Cancel asks the engine to stop a generation.
func (c *Client) Cancel(ctx context.Context, ref message.Ref) error {
	return c.post(ctx, PathCancel, CancelRequest{RequestID: ref.Request.String(), Attempt: uint32(ref.Attempt)})
}

// Report returns the engine's state and load. It also serves as the health check.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	return report, c.get(ctx, PathLoad, &report)
}

// CacheEvents returns the events of the engine's prefix cache.
func (c *Client) CacheEvents(ctx context.Context) ([]CacheEvent, error) {
	var events []CacheEvent
	return events, c.get(ctx, PathCacheEvents, &events)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, http.NoBody)
	if err != nil {
		return ErrNotSent{Cause: err}
	}
	resp, err := c.roundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into); err != nil {
		return ErrResponseCut{Cause: err}
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, body any) error {
	resp, err := c.postJSON(ctx, path, body)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close()
	if err != nil {
		return ErrResponseCut{Cause: err}
	}
	return nil
}

func (c *Client) postJSON(ctx context.Context, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, ErrNotSent{Cause: errors.Wrap(err, "encode")}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, ErrNotSent{Cause: err}
	}
	// Without GetBody, net/http cannot replay the body on another connection, so the
	// request is sent at most once.
	req.GetBody = nil
	req.Header.Set("Content-Type", jsonContentType)
	if c.ordererToken != "" && path == PathOrders {
		req.Header.Set(OrdererHeader, c.ordererToken)
	}
	return c.roundTrip(req)
}

// roundTrip sends req. It returns ErrNotSent if the transport never got a
// connection, and ErrResponseCut for a later failure, after which the call may have
// run. Any valid status other than 200 becomes ErrRefused, or ErrResponseCut if the body
// gives no code.
func (c *Client) roundTrip(req *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected = true
		httphead.ExpectResponse(info.Conn)
	}}
	transport := c.transport
	if strings.HasSuffix(req.URL.Path, PathGenerate) {
		transport = c.generation
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err != nil && !connected:
		return nil, ErrNotSent{Cause: err}
	case err != nil:
		return nil, ErrResponseCut{Cause: err}
	case resp.StatusCode != http.StatusOK:
		return nil, decodeRefusal(resp)
	}
	return resp, nil
}

func decodeRefusal(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	var r Refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&r); err != nil || r.Code == "" {
		return ErrResponseCut{Cause: errors.Errorf("status %d without a reason", resp.StatusCode)}
	}
	return ErrRefused{Status: resp.StatusCode, Code: r.Code, Reason: r.Reason}
}
