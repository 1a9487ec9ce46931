package explanation

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call of a Client.
	callTimeout = 5 * time.Second
	// maxDocument bounds a document that a Client reads.
	maxDocument = 16 << 20
	// maxHeader bounds the header of an answer, in bytes.
	maxHeader = 64 << 10
	// maxQuery bounds the query of a call, in bytes. The page's server bounds the headers.
	maxQuery = 4 << 10
	// maxTokens bounds each part of a request's size.
	maxTokens = 1 << 30
)

// client uses no proxy of the environment and follows no redirect: the request has the operator's token and a caller's key.
var client = http.Client{
	Transport:     &http.Transport{MaxResponseHeaderBytes: maxHeader},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Client asks one gateway. It is ready for use once its fields are set.
type Client struct {
	// Address is the IP address and port of a health listener of the gateway.
	Address string
	// Token is the one in the gateway's settings.
	Token string
}

// Explain returns where a request would go and why.
func (c Client) Explain(ctx context.Context, q Request) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.Address, Path: Path, RawQuery: q.values().Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Document{}, errors.Wrap(err, "compose call")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	if q.Key != "" {
		r.Header.Set(KeyHeader, q.Key)
	}
	response, err := client.Do(r)
	if err != nil {
		return Document{}, errors.Wrap(err, "call gateway")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDocument))
	if err != nil {
		return Document{}, errors.Wrap(err, "read the gateway's answer")
	}
	if response.StatusCode != http.StatusOK {
		return Document{}, errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(body))
	}
	var d Document
	return d, errors.Wrap(json.Unmarshal(body, &d), "read the gateway's answer")
}

// values returns the query of the page.
func (q Request) values() url.Values {
	v := url.Values{}
	for name, text := range map[string]string{
		paramMethod: q.Method, paramPath: q.Path, paramHost: q.Host, paramModel: q.Model, paramParts: q.Parts,
		paramPromptTokens: strconv.Itoa(q.PromptTokens), paramOutputTokens: strconv.Itoa(q.OutputTokens),
	} {
		if text != "" {
			v.Set(name, text)
		}
	}
	return v
}

// ParseRequest returns the request that a call of the page describes.
func ParseRequest(r *http.Request) (Request, error) {
	if len(r.URL.RawQuery) > maxQuery {
		return Request{}, errors.Errorf("the query is longer than %d bytes", maxQuery)
	}
	v, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return Request{}, errors.New("the query is malformed")
	}
	q := Request{
		Method: v.Get(paramMethod), Path: v.Get(paramPath), Host: v.Get(paramHost), Key: r.Header.Get(KeyHeader),
		Model: v.Get(paramModel), Parts: v.Get(paramParts),
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	if !strings.HasPrefix(q.Path, "/") {
		return Request{}, errors.New("path must begin with /")
	}
	if q.PromptTokens, err = parseTokens(v, paramPromptTokens); err != nil {
		return Request{}, err
	}
	q.OutputTokens, err = parseTokens(v, paramOutputTokens)
	return q, err
}

// parseTokens returns a number of tokens, 0 if it is missing.
func parseTokens(v url.Values, name string) (int, error) {
	text := v.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxTokens {
		return 0, errors.Errorf("%s must be a number from 0 to %d", name, maxTokens)
	}
	return n, nil
}
