// Package metric counts and times what a daemon does, and writes it in the
// Prometheus text exposition format, version 0.0.4.
package metric

import (
	"sort"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const namePrefix = "egretreach_"

// Label is one name and value of a metric.
type Label struct{ Name, Value string }

type kind string

const (
	kindCounter kind = "counter"
	kindGauge   kind = "gauge"
	kindSummary kind = "summary"
)

// family is all metrics of one name.
type family struct {
	kind   kind
	help   string
	series []string
}

// Registry holds a daemon's metrics. Use New. A nil registry hands out metrics
// that nobody reads.
type Registry struct {
	metrics metrics.Registry

	mu       sync.Mutex
	families map[string]*family
	timers   map[timerKey]*Timer
	teams    map[string]bool
	// timersBySeries finds the timer of a full name.
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

// Counter returns the counter of that name and labels. Its name should end in
// "_total".
func (r *Registry) Counter(name, help string, labels ...Label) metrics.Counter {
	if r == nil {
		return metrics.NewCounter()
	}
	id := r.series(kindCounter, name, help, labels)
	return metrics.GetOrRegisterCounter(id, r.metrics)
}

// Gauge returns the gauge of that name and labels.
func (r *Registry) Gauge(name, help string, labels ...Label) metrics.GaugeFloat64 {
	if r == nil {
		return metrics.NewGaugeFloat64()
	}
	id := r.series(kindGauge, name, help, labels)
	return metrics.GetOrRegisterGaugeFloat64(id, r.metrics)
}

// GaugeFunc reads a gauge from f whenever the metrics are written.
func (r *Registry) GaugeFunc(name, help string, f func() float64, labels ...Label) {
	if r == nil {
		return
	}
	id := r.series(kindGauge, name, help, labels)
	_ = r.metrics.Register(id, metrics.NewFunctionalGaugeFloat64(f))
}

// series enters a metric into its family and returns its full name.
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
	at := sort.SearchStrings(f.series, id)
	if at < len(f.series) && f.series[at] == id {
		return id
	}
	f.series = append(f.series, "")
	copy(f.series[at+1:], f.series[at:])
	f.series[at] = id
	return id
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

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
