package metric

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the text that WriteTo writes.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are the quantiles that are written for each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteTo writes all metrics, sorted by name.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	var b bytes.Buffer
	if r != nil {
		r.write(&b)
	}
	return b.WriteTo(w)
}

func (r *Registry) write(b *bytes.Buffer) {
	for _, name := range r.names() {
		f := r.family(name)
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s %s\n", name, f.help, name, f.kind)
		for _, id := range f.series {
			r.writeSeries(b, id)
		}
	}
}

func (r *Registry) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.families))
	for name := range r.families {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (r *Registry) family(name string) family {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := *r.families[name]
	f.series = append([]string(nil), f.series...)
	return f
}

func (r *Registry) writeSeries(b *bytes.Buffer, id string) {
	switch m := r.metrics.Get(id).(type) {
	case metrics.Counter:
		fmt.Fprintf(b, "%s %d\n", id, m.Count())
	case metrics.GaugeFloat64:
		fmt.Fprintf(b, "%s %s\n", id, formatFloat(m.Value()))
	case metrics.Histogram:
		r.timer(id).write(b, id)
	}
}

func (r *Registry) timer(id string) *Timer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timersBySeries[id]
}

// write writes the timer as a Prometheus summary in seconds.
func (t *Timer) write(b *bytes.Buffer, id string) {
	name, labels, _ := strings.Cut(strings.TrimSuffix(id, "}"), "{")
	for i, v := range t.histogram.Percentiles(quantiles) {
		fmt.Fprintf(b, "%s{%s,quantile=%q} %s\n", name, labels, formatFloat(quantiles[i]), formatSeconds(v))
	}
	fmt.Fprintf(b, "%s_sum{%s} %s\n", name, labels, formatSeconds(float64(t.sum.Count())))
	fmt.Fprintf(b, "%s_count{%s} %d\n", name, labels, t.histogram.Count())
}

// formatSeconds converts nanoseconds to seconds.
func formatSeconds(ns float64) string { return formatFloat(ns / float64(time.Second)) }

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
