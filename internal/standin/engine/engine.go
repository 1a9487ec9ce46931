// Package engine is a stand-in for a model engine: an HTTP server that models continuous
// batching, prefill, decode and a prefix cache in simple form. The text it generates is a pure
// function of prompt and offset, so that any replica can continue a stream exactly. It neither
// exports nor imports KV cache.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	protocol "github.com/egretreach/egretreach/internal/agent/engine"
)

// Defaults of Options.
const (
	DefaultTokenGap      = 20 * time.Millisecond
	DefaultPrefillRate   = 8000.0
	DefaultCapacity      = 32
	DefaultCacheBlocks   = 4096
	DefaultReportMaxAge  = 250 * time.Millisecond
	DefaultResponseDelay = 30 * time.Second
)

// Options configures an Engine. Zero values of the fields that have a default select it.
type Options struct {
	// LoadTime is the time that loading a model takes.
	LoadTime time.Duration
	// TokenGap is the time between two tokens in an empty batch.
	TokenGap time.Duration
	// StepTokens is the number of tokens generated together, as with speculative decoding;
	// the default is 1.
	StepTokens int
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// Capacity is the maximum number of requests decoded at the same time.
	Capacity int
	// CacheBlocks is the size of the prefix cache, in blocks of 16 tokens.
	CacheBlocks int
	// ReportMaxAge is the maximum age of the load figures in a report.
	ReportMaxAge time.Duration
	// EventDelay delays the publication of cache events. Every DropEventEvery-th event is dropped;
	// 0 drops none.
	EventDelay     time.Duration
	DropEventEvery int
	// Fences makes the engine refuse orders whose fencing number is lower than one it has
	// seen, and generations whose number is not that of the order in force.
	Fences bool
	// OrdererToken, if set, is the token that every order must carry.
	OrdererToken string
	// A prompt that contains one of these markers triggers a failure: the engine crashes, at once or late, the
	// response never starts, starts late, is sent twice, or is mixed with events of another
	// request.
	CrashMarker        string
	LateCrashMarker    string
	HangMarker         string
	DelayMarker        string
	DuplicateMarker    string
	ForeignEventMarker string
	// ResponseDelay delays the response to a prompt with DelayMarker.
	ResponseDelay time.Duration
	// RestartAfter is the time from a crash to the automatic restart; 0 leaves the engine down
	// until Restart.
	RestartAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.TokenGap == 0 {
		o.TokenGap = DefaultTokenGap
	}
	if o.StepTokens == 0 {
		o.StepTokens = 1
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = DefaultPrefillRate
	}
	if o.Capacity == 0 {
		o.Capacity = DefaultCapacity
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = DefaultCacheBlocks
	}
	if o.ReportMaxAge == 0 {
		o.ReportMaxAge = DefaultReportMaxAge
	}
	if o.ResponseDelay == 0 {
		o.ResponseDelay = DefaultResponseDelay
	}
	return o
}

// startCounter makes the start IDs of all engines of a process unique.
var startCounter atomic.Uint64

// Engine is a stand-in model engine. Create it with New.
type Engine struct {
	opts  Options
	batch *batch
	cache *prefixCache

	hung atomic.Bool

	mu sync.Mutex
	// startID is unique to each start and restart of the engine.
	startID string
	// down is closed when the engine crashes.
	down   chan struct{}
	isDown bool
	frozen bool
	// resumed is closed by Resume; nil while the engine is not paused.
	resumed      chan struct{}
	crashes      int
	continued    int
	highestFence uint64
	// assigned is the load order in force, zero if there is none.
	assigned      protocol.Order
	loadedAt      time.Time
	loadStartedAt time.Time
	running       map[runKey]func()
	runs          map[runKey]int
	orders        []protocol.Order
	// lastReport holds the load figures as of reportedAt.
	lastReport protocol.Report
	reportedAt time.Time
}

// runKey identifies an attempt of a request.
type runKey struct {
	request string
	attempt uint32
}

// New returns an engine with no model loaded.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{opts: opts, runs: map[runKey]int{}}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.startID = strconv.FormatInt(time.Now().UnixNano(), 36) + "." + strconv.FormatUint(startCounter.Add(1), 36)
	e.down = make(chan struct{})
	e.isDown = false
	e.highestFence = 0
	e.assigned = protocol.Order{}
	e.loadedAt = time.Time{}
	e.running = map[runKey]func(){}
	e.batch = newBatch(e.opts)
	e.cache = newPrefixCache(e.opts)
	e.lastReport = protocol.Report{}
	e.reportedAt = time.Time{}
}

// Handler returns the handler of the engine protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathGenerate, e.generate)
	mux.HandleFunc("POST "+protocol.PathCancel, e.cancel)
	mux.HandleFunc("POST "+protocol.PathOrders, e.order)
	mux.HandleFunc("GET "+protocol.PathLoad, e.load)
	mux.HandleFunc("GET "+protocol.PathCacheEvents, e.events)
	mux.HandleFunc("GET "+protocol.PathHealth, e.health)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down, frozen := e.isDown, e.frozen
		e.mu.Unlock()
		if frozen {
			// net/http detects that the client has closed the connection only after the body
			// has been read.
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxGenerateBytes))
			<-r.Context().Done()
		}
		if down || frozen || e.awaitResume(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// Crash ends every generation, and fails every request by closing its connection, health checks
// included, until Restart, or for RestartAfter if that is set.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return
	}
	e.isDown = true
	e.crashes++
	close(e.down)
	if e.opts.RestartAfter > 0 {
		time.AfterFunc(e.opts.RestartAfter, e.Restart)
	}
}

// GenerationsStarted returns the number of generations started since New, over all restarts.
func (e *Engine) GenerationsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	started := 0
	for _, n := range e.runs {
		started += n
	}
	return started
}

// GenerationsResumed returns the number of generations started since New that continue a
// response at an offset above 0.
func (e *Engine) GenerationsResumed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.continued
}

// Hang stalls the current and all later generations at their next step without ending them.
// Health checks still pass.
func (e *Engine) Hang() { e.hung.Store(true) }

// Crashes returns the number of crashes since New.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Freeze stalls the current and all later requests, health checks included, while their
// connections stay open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = true
}

// Pause stalls the current and all later requests, health checks included, until Resume.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed == nil {
		e.resumed = make(chan struct{})
	}
}

// Resume ends a Pause.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed != nil {
		close(e.resumed)
		e.resumed = nil
	}
}

// awaitResume waits until the engine is not paused, or ctx ends.
func (e *Engine) awaitResume(ctx context.Context) error {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Restart brings a crashed engine back with no model loaded and an empty cache. The counters and
// Orders are kept.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		e.reset()
	}
}

// Runs returns how often the engine has started an attempt of a request.
func (e *Engine) Runs(request string, attempt uint32) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[runKey{request, attempt}]
}

// Running returns the number of generations in progress, including those that wait for a
// slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Orders returns the orders that the engine has accepted, and those refused for an unknown
// action.
func (e *Engine) Orders() []protocol.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]protocol.Order(nil), e.orders...)
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (e *Engine) events(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.cache.published(time.Now()))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, status int, code, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(protocol.Refusal{Code: code, Reason: reason})
}
