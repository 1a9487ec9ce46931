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
		writeRefusal(w, http.StatusForbidden, protocol.CodeOrdererRefused, "the orderer's token is missing or wrong")
		return
	}
	var o protocol.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		writeRefusal(w, http.StatusBadRequest, protocol.CodeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fences && o.Fence < e.highestFence {
		writeRefusal(w, http.StatusConflict, protocol.CodeStaleFence, fmt.Sprintf("fence %d is older than %d", o.Fence, e.highestFence))
		return
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Action {
	case protocol.ActionLoad:
		e.loadLocked(o)
	case protocol.ActionRelease:
		if e.assigned.Replica == o.Replica {
			e.assigned = protocol.Order{}
		}
	default:
		writeRefusal(w, http.StatusBadRequest, protocol.CodeInvalidRequest, "unknown action "+o.Action)
		return
	}
	writeJSON(w, struct{}{})
}

// loadLocked starts loading a model. An order that repeats the replica, fence, model and version
// in force only replaces the rest, such as the adapters, without loading again.
func (e *Engine) loadLocked(o protocol.Order) {
	current := e.assigned
	if current.Replica == o.Replica && current.Fence == o.Fence && current.Model == o.Model && current.Version == o.Version {
		e.assigned = o
		return
	}
	now := time.Now()
	e.assigned = o
	e.loadStartedAt = now
	e.loadedAt = now.Add(e.opts.LoadTime)
}

func (e *Engine) loadedLocked(now time.Time) bool {
	return e.assigned.Replica != "" && !now.Before(e.loadedAt)
}

func (e *Engine) percentLocked(now time.Time) int {
	switch {
	case e.assigned.Replica == "":
		return 0
	case e.loadedLocked(now):
		return 100
	}
	return int(100 * now.Sub(e.loadStartedAt) / e.opts.LoadTime)
}

// load reports the current state of the replica, and load figures that are up to ReportMaxAge
// old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.opts.ReportMaxAge {
		e.lastReport = e.batch.report()
		e.reportedAt = now
	}
	report := e.lastReport
	report.Start = e.startID
	report.Replica = e.assigned.Replica
	report.Fence = e.assigned.Fence
	report.Loaded = e.loadedLocked(now)
	report.LoadPercent = e.percentLocked(now)
	writeJSON(w, report)
}
