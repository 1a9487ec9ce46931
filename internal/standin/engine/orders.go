package engine

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	protocol "github.com/egretreach/egretreach/internal/agent/engine"
)

const maxOrderBytes = 1 << 20

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	token := []byte(r.Header.Get(protocol.OrdererHeader))
	if e.opts.OrdererToken != "" && subtle.ConstantTimeCompare(token, []byte(e.opts.OrdererToken)) != 1 {
		refuse(w, http.StatusForbidden, protocol.CodeOrdererRefused, "the orderer's token is missing or wrong")
		return
	}
	var o protocol.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, protocol.CodeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fences && o.Fence < e.fence {
		refuse(w, http.StatusConflict, protocol.CodeStaleFence, fmt.Sprintf("fence %d is older than %d", o.Fence, e.fence))
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Action {
	case protocol.ActionLoad:
		e.loadLocked(o)
	case protocol.ActionRelease:
		if e.place.Replica == o.Replica {
			e.place = protocol.Order{}
		}
	default:
		refuse(w, http.StatusBadRequest, protocol.CodeInvalidRequest, "unknown action "+o.Action)
		return
	}
	answer(w, struct{}{})
}

// loadLocked starts loading a model. An order that repeats the replica, fence, model and version
// in force only replaces the rest, such as the adapters, without loading again.
func (e *Engine) loadLocked(o protocol.Order) {
	held := e.place
	if held.Replica == o.Replica && held.Fence == o.Fence && held.Model == o.Model && held.Version == o.Version {
		e.place = o
		return
	}
	now := time.Now()
	e.place = o
	e.loadFrom = now
	e.loadedAt = now.Add(e.opts.LoadTime)
}

func (e *Engine) loadedLocked(now time.Time) bool {
	return e.place.Replica != "" && !now.Before(e.loadedAt)
}

func (e *Engine) percentLocked(now time.Time) int {
	switch {
	case e.place.Replica == "":
		return 0
	case e.loadedLocked(now):
		return 100
	}
	return int(100 * now.Sub(e.loadFrom) / e.opts.LoadTime)
}

// load reports the current state of the replica, and load figures that are up to ReportLag old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asOf.IsZero() || now.Sub(e.asOf) >= e.opts.ReportMaxAge {
		e.reported = e.batch.report()
		e.asOf = now
	}
	report := e.reported
	report.Start = e.start
	report.Replica = e.place.Replica
	report.Fence = e.place.Fence
	report.Loaded = e.loadedLocked(now)
	report.LoadPercent = e.percentLocked(now)
	answer(w, report)
}
