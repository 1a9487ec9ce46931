package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

var noRedirects = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second},
}

// call sends one request and returns the status, 0 if there was no answer, and the response with its body read.
func (r *Rig) call(method, url, body string) (int, *Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, &Answer{Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	return send(noRedirects, request, nil)
}

// Answer is a response to a request.
type Answer struct {
	Header http.Header
	Body   string
	Err    error
}

func send(client *http.Client, request *http.Request, header map[string]string) (int, *Answer) {
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := client.Do(request) //nolint:gosec // All addresses are loopback addresses.
	if err != nil {
		return 0, &Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, &Answer{Header: response.Header, Err: err}
	}
	return response.StatusCode, &Answer{Header: response.Header, Body: string(body)}
}

// Put sends a configuration as the operator does: to one portal after the other, following redirects twice. It
// reports whether the configuration was acknowledged.
func (r *Rig) Put(version int, document string) bool {
	for _, p := range r.Portals {
		status := r.controlCall(http.MethodPut, p, "/config", document)
		r.Record.Logf("operator: PUT version %d at %s: %d", version, p.Name, status)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// PutUntil sends a configuration until it is acknowledged or the time is up.
func (r *Rig) PutUntil(version int, document string, limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(200 * time.Millisecond) {
		if r.Put(version, document) {
			return true
		}
	}
	return false
}

func (r *Rig) controlCall(method string, p *Process, path, body string) int {
	url := "http://" + p.API() + path
	for range 3 {
		status, answer := r.call(method, url, body)
		if status != http.StatusTemporaryRedirect {
			return status
		}
		url = answer.Header.Get("Location")
	}
	return 0
}

// Read reads the configuration at a portal, following redirects, and returns the status and the body.
func (r *Rig) Read(p *Process) (int, string) {
	url := "http://" + p.API() + "/config"
	for range 3 {
		status, answer := r.call(http.MethodGet, url, "")
		if status != http.StatusTemporaryRedirect {
			return status, answer.Body
		}
		url = answer.Header.Get("Location")
	}
	return 0, ""
}

// Leader returns the portal that answers a read itself, or nil.
func (r *Rig) Leader() *Process {
	for _, p := range r.Portals {
		if status, _ := r.call(http.MethodGet, "http://"+p.API()+"/config", ""); status == http.StatusOK {
			return p
		}
	}
	return nil
}

// Beat sends one heartbeat or sign-off to a portal and returns the status. path is the escaped path of the instance.
func (r *Rig) Beat(method string, p *Process, path, body string) int {
	status, _ := r.call(method, "http://"+p.API()+path, body)
	return status
}

// Client is a client that keeps its connections.
type Client struct{ http *http.Client }

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Request is a client's request.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	Timeout                           time.Duration
	Header                            map[string]string
}

// Send sends a request to a gateway and returns the status, 0 for a closed connection or no answer in time.
func (c *Client) Send(g *Process, q Request) (int, *Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+g.API()+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return 0, &Answer{Err: err}
	}
	request.Host = q.Host
	header := map[string]string{"X-Request-Id": q.ID, "X-Deadline-Ms": fmt.Sprint(q.Timeout.Milliseconds())} //nolint:perfsprint // A duration in ms.
	if q.Key != "" {
		header["X-Key"] = q.Key
	}
	for name, value := range q.Header {
		header[name] = value
	}
	return send(c.http, request, header)
}
