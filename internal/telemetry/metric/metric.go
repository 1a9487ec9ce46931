// Package metric holds a daemon's counters, gauges and timers and writes them in the Prometheus text
// exposition format, version 0.0.4.
package metric

import (
	"sort"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const namePrefix = "egretreach_"

// Label is a label of a metric with its value.
type Label struct{ Name, Value string }

type kind string

const (
	kindCounter kind = "counter"
	kindGauge   kind = "gauge"
	kindSummary kind = "summary"
)

// family holds the metrics of one name.
type family struct {
	kind kind
	help string
	// series lists the names with labels of the family's metrics in sorted order.
	series []string
}

// Registry holds a daemon's metrics. Use New. The metrics of a nil registry can be updated but are
// never written.
type Registry struct {
	metrics metrics.Registry

	mu       sync.Mutex
	families map[string]*family
	timers   map[timerKey]*Timer
	// teams holds the teams that have timers of their own.
	teams map[string]bool
	// timersBySeries holds the timers by their names with labels.
	timersBySeries map[string]*Timer
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		metrics:        metrics.NewRegistry(),
		families:       map[string]*family{},
		timers:         map[timerKey]*Timer{},
		teams:          map[string]bool{},
		timersBySeries: map[string]*Timer{},
	}
}

// Counter returns the counter with a name and labels, and creates it if necessary. The name should end
// in "_total".
func (r *Registry) Counter(name, help string, labels ...Label) metrics.Counter {
	if r == nil {
		return metrics.NewCounter()
	}
	id := r.series(kindCounter, name, help, labels)
	return metrics.GetOrRegisterCounter(id, r.metrics)
}

// Gauge returns the gauge with a name and labels, and creates it if necessary.
func (r *Registry) Gauge(name, help string, labels ...Label) metrics.GaugeFloat64 {
	if r == nil {
		return metrics.NewGaugeFloat64()
	}
	id := r.series(kindGauge, name, help, labels)
	return metrics.GetOrRegisterGaugeFloat64(id, r.metrics)
}

// GaugeFunc registers a gauge whose value is f() at the time at which the metrics are written.
func (r *Registry) GaugeFunc(name, help string, f func() float64, labels ...Label) {
	if r == nil {
		return
	}
	id := r.series(kindGauge, name, help, labels)
	_ = r.metrics.Register(id, metrics.NewFunctionalGaugeFloat64(f))
}

// series adds a metric to its family, unless it is there already, and returns its name with the prefix
// and labels.
func (r *Registry) series(k kind, name, help string, labels []Label) string {
	name = namePrefix + name
	id := name + formatLabels(labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.families[name]
	if f == nil {
		f = &family{kind: k, help: help}
		r.families[name] = f
	}
	i := sort.SearchStrings(f.series, id)
	if i < len(f.series) && f.series[i] == id {
		return id
	}
	f.series = append(f.series, "")
	copy(f.series[i+1:], f.series[i:])
	f.series[i] = id
	return id
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels returns labels in braces, or "" if there are none.
func formatLabels(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	parts := make([]string, 0, len(labels))
	for _, l := range labels {
		parts = append(parts, l.Name+`="`+labelEscapes.Replace(l.Value)+`"`)
	}
	return "{" + strings.Join(parts, ",") + "}"
}
