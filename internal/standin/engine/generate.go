package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	protocol "github.com/egretreach/egretreach/internal/agent/engine"
)

const maxGenerateBytes = 16 << 20

// foreignRequest is the request ID of the events that ForeignEventMarker mixes in.
const foreignRequest = "00000000-0000-4000-8000-000000000000"

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req protocol.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGenerateBytes)).Decode(&req); err != nil {
		writeRefusal(w, http.StatusBadRequest, protocol.CodeInvalidRequest, err.Error())
		return
	}
	p, err := parsePrompt(req.Body)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, protocol.CodeInvalidRequest, err.Error())
		return
	}
	run, ok := e.startRun(r.Context(), w, req, p)
	if !ok {
		return
	}
	defer run.finish()
	if containsMarker(p, e.opts.CrashMarker) {
		e.Crash()
	}
	if containsMarker(p, e.opts.LateCrashMarker) {
		defer time.AfterFunc(lateCrashTime, e.Crash).Stop()
	}
	if run.respond(w) != nil {
		// Break the connection, so that the client can't take the short response for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
}

// lateCrashTime is the time from the beginning of a generation to a late crash.
const lateCrashTime = 1500 * time.Millisecond

func containsMarker(p prompt, marker string) bool {
	return marker != "" && strings.Contains(p.text, marker)
}

// run is one generation in progress.
type run struct {
	engine *Engine
	ctx    context.Context
	req    protocol.GenerateRequest
	prompt prompt
	finish func()
	cache  *prefixCache
	batch  *batch
}

// startRun starts a run, or writes a refusal. A run ends when its connection is closed, when it is
// canceled or when the engine crashes.
func (e *Engine) startRun(parent context.Context, w http.ResponseWriter, req protocol.GenerateRequest, p prompt) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.opts.Fences && req.Fence != e.assigned.Fence:
		writeRefusal(w, http.StatusConflict, protocol.CodeStaleFence, "the replica's fence has changed")
		return nil, false
	case !e.loadedLocked(time.Now()):
		writeRefusal(w, http.StatusConflict, protocol.CodeNotLoaded, "no model is loaded")
		return nil, false
	case !e.assigned.Head:
		writeRefusal(w, http.StatusConflict, protocol.CodeNotHead, "this member only holds weights")
		return nil, false
	}
	ctx, stop := context.WithCancel(parent)
	key := runKey{req.RequestID, req.Attempt}
	e.runs[key]++
	if req.ResumeOffset > 0 {
		e.continued++
	}
	e.running[key] = stop
	down := e.down
	go func() {
		select {
		case <-down:
			stop()
		case <-ctx.Done():
		}
	}()
	finish := func() {
		stop()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, key)
	}
	return &run{engine: e, ctx: ctx, req: req, prompt: p, finish: finish, cache: e.cache, batch: e.batch}, true
}

func (r *run) respond(w http.ResponseWriter) error {
	opts := r.engine.opts
	tokens := strings.Fields(r.prompt.text + r.req.ResumeText)
	cached := r.cache.lookupAndStore(tokens, time.Now())
	release, err := r.batch.admit(r.ctx, len(tokens)-cached)
	if err != nil {
		return err
	}
	defer release()
	if containsMarker(r.prompt, opts.HangMarker) {
		<-r.ctx.Done()
	}
	if containsMarker(r.prompt, opts.DelayMarker) {
		if err := sleep(r.ctx, opts.ResponseDelay); err != nil {
			return err
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if err := r.writeCompletion(w, len(tokens), cached); err != nil || !containsMarker(r.prompt, opts.DuplicateMarker) {
		return err
	}
	return r.writeCompletion(w, len(tokens), cached)
}

func (r *run) writeCompletion(w http.ResponseWriter, promptTokens, cached int) error {
	length, reason := r.prompt.length()
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	event := protocol.GenerateEvent{RequestID: r.req.RequestID, Attempt: r.req.Attempt, Offset: r.req.ResumeOffset}
	step := uint64(r.engine.opts.StepTokens)
	for ; event.Offset < length; event.Offset++ {
		if event.Offset%step == 0 {
			if err := r.awaitStep(flusher, step); err != nil {
				return err
			}
		}
		event.Text = r.prompt.token(event.Offset)
		if containsMarker(r.prompt, r.engine.opts.ForeignEventMarker) {
			foreign := event
			foreign.RequestID = foreignRequest
			_ = encoder.Encode(foreign)
		}
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	event.Text = ""
	event.End = true
	event.FinishReason = reason
	event.PromptTokens = promptTokens
	event.CompletionTokens = int(length)
	event.CachedTokens = cached
	return encoder.Encode(event)
}

// awaitStep flushes the tokens of the last step and waits until those of the next are due.
func (r *run) awaitStep(flusher *http.ResponseController, tokens uint64) error {
	if err := flusher.Flush(); err != nil {
		return err
	}
	if r.engine.hung.Load() {
		<-r.ctx.Done()
		return r.ctx.Err()
	}
	r.engine.mu.Lock()
	frozen := r.engine.frozen
	r.engine.mu.Unlock()
	if frozen {
		<-r.ctx.Done()
	}
	if err := r.engine.awaitResume(r.ctx); err != nil {
		return err
	}
	return sleep(r.ctx, r.batch.tokenGap()*time.Duration(tokens))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var req protocol.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&req); err != nil {
		writeRefusal(w, http.StatusBadRequest, protocol.CodeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	stop := e.running[runKey{req.RequestID, req.Attempt}]
	e.mu.Unlock()
	if stop != nil {
		stop()
	}
	writeJSON(w, struct{}{})
}
