package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/standin/engine"
)

// Options configures the run of a plan.
type Options struct {
	// Targets are the base URLs of the entries. Arrivals go to them round-robin.
	Targets []string
	// Transport replaces HTTP over TCP, for tests.
	Transport http.RoundTripper
	// Resends is the maximum number of times that a sign-off is sent again while it is not
	// complete.
	Resends int
	// ExpectedCompletion returns the text that an engine generates for a body, and its number
	// of tokens; nil means engine.Completion.
	ExpectedCompletion func(body []byte) (string, uint64, error)
}

const (
	chatPath      = "/v1/chat/completions"
	recordsPath   = "/services/records/records"
	signoffPath   = "/services/records/signoffs"
	outcomeHeader = "Egretreach-Outcome"
	resendDelay   = 500 * time.Millisecond
	maxLineBytes  = 1 << 20
	// maxResponseBytes bounds a response that is read whole, and the text of a stream, in bytes.
	maxResponseBytes = 4 << 20
)

// Run sends each of the plan's arrivals at its intended time, without waiting for earlier
// responses, and returns the report when all requests have ended.
func Run(ctx context.Context, plan Plan, opts Options) *Report {
	if opts.ExpectedCompletion == nil {
		opts.ExpectedCompletion = engine.Completion
	}
	r := &runner{opts: opts, report: newReport(plan), start: time.Now()}
	r.client = &http.Client{Transport: opts.Transport}
	if opts.Transport == nil {
		r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
	}
	var group sync.WaitGroup
	for i, a := range plan.Arrivals() {
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		group.Go(func() { r.send(ctx, i, a) })
	}
	group.Wait()
	r.report.Elapsed = time.Since(r.start)
	r.countSignoffs(ctx, plan)
	return r.report
}

type runner struct {
	opts   Options
	client *http.Client
	start  time.Time
	report *Report
}

// sleepUntil reports whether it slept until the time, and not only until ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// result is one response as the caller saw it.
type result struct {
	outcome string
	code    string
	status  int
	text    string
	// first and last are the arrival times of the first and the last token, tokens is the
	// number of tokens.
	first, last time.Time
	tokens      int
	finished    bool
}

func (r *runner) send(ctx context.Context, n int, a Arrival) {
	intended := r.start.Add(a.At)
	res, err := r.sendWithFailover(ctx, n, a)
	for i := 0; i < r.opts.Resends && a.Kind == KindSignoff && (err != nil || res.outcome != "complete"); i++ {
		sleepUntil(ctx, time.Now().Add(resendDelay))
		res, err = r.sendWithFailover(ctx, n+i+1, a)
	}
	r.report.add(a, intended, res, err, r.isExpected(a, res, err))
}

// isExpected reports whether a complete generation is the one that belongs to the request.
// It is true for everything that can't be checked.
func (r *runner) isExpected(a Arrival, res result, err error) bool {
	if err != nil || res.outcome != "complete" || (a.Kind != KindStream && a.Kind != KindNonStreaming) {
		return true
	}
	want, _, err := r.opts.ExpectedCompletion([]byte(a.Body))
	return err == nil && want == res.text
}

// sendWithFailover sends a request to an entry. While no connection can be opened, it tries the
// next entry, as a load balancer would.
func (r *runner) sendWithFailover(ctx context.Context, n int, a Arrival) (result, error) {
	var res result
	var err error
	for i := range r.opts.Targets {
		res, err = r.sendOnce(ctx, n+i, a)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			break
		}
	}
	return res, err
}

func (r *runner) sendOnce(ctx context.Context, n int, a Arrival) (result, error) {
	method, path := http.MethodPost, chatPath
	switch a.Kind {
	case KindLookup:
		method, path = http.MethodGet, recordsPath
	case KindSignoff:
		path = signoffPath
	case KindStream, KindNonStreaming:
	}
	target := r.opts.Targets[n%len(r.opts.Targets)]
	req, err := http.NewRequestWithContext(ctx, method, target+path, strings.NewReader(a.Body))
	if err != nil {
		return result{}, err
	}
	req.Header.Set("Authorization", "Bearer "+a.Team.Token)
	if a.Team.Class != "" {
		req.Header.Set("Egretreach-Class", string(a.Team.Class))
	}
	if a.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", a.IdempotencyKey)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return result{}, err
	}
	defer resp.Body.Close()
	return readResponse(resp, a.Kind)
}

// errTooLong is returned for a response that is longer than maxResponseBytes.
var errTooLong = errors.New("the response is too long")

func readResponse(resp *http.Response, kind Kind) (result, error) {
	res := result{outcome: resp.Header.Get(outcomeHeader), status: resp.StatusCode}
	if resp.StatusCode < http.StatusBadRequest && kind == KindStream {
		return readStream(resp, res)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return res, err
	}
	if len(raw) > maxResponseBytes {
		return res, errTooLong
	}
	res.finished = true
	var body struct {
		Choices []struct{ Message struct{ Content string } }
		Error   struct{ Code string }
	}
	if json.Unmarshal(raw, &body) == nil {
		res.code = body.Error.Code
		if len(body.Choices) > 0 {
			res.text = body.Choices[0].Message.Content
		}
	}
	return res, nil
}

func readStream(resp *http.Response, res result) (result, error) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			res.finished = true
			continue
		}
		if err := res.addEvent(data, &text); err != nil {
			return res, err
		}
		if text.Len() > maxResponseBytes {
			return res, errTooLong
		}
	}
	res.text = text.String()
	res.outcome = resp.Trailer.Get(outcomeHeader)
	if err := lines.Err(); err != nil {
		return res, err
	}
	if !res.finished && res.code == "" {
		return res, errors.New("the stream ended without an end")
	}
	return res, nil
}

func (res *result) addEvent(data string, text *strings.Builder) error {
	var event struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   struct{ Code string }
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return errors.Wrap(err, "stream event")
	}
	res.code = event.Error.Code
	if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
		return nil
	}
	res.last = time.Now()
	if res.tokens == 0 {
		res.first = res.last
	}
	res.tokens++
	text.WriteString(event.Choices[0].Delta.Content)
	return nil
}

// countSignoffs reads from the stand-in service how often each sign-off ran.
func (r *runner) countSignoffs(ctx context.Context, plan Plan) {
	if plan.Mix[KindSignoff] == 0 || len(plan.Teams) == 0 {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.opts.Targets[0]+signoffPath, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+plan.Teams[0].Token)
	resp, err := r.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var counts struct {
		ByBody map[string]int `json:"by_body"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&counts) == nil && resp.StatusCode == http.StatusOK {
		r.report.countRuns(counts.ByBody)
	}
}
