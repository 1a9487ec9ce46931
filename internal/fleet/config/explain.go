package config

import (
	"fmt"
	"reflect"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Explanation is one value in force and its source.
type Explanation struct {
	// Key is the path of the value, such as "repair.return_wait".
	Key   string `json:"key"`
	Value string `json:"value"`
	// Exception is the index of the exception that set the value, or -1 for a default.
	Exception int `json:"exception"`
	// Reason is the reason of the exception.
	Reason string `json:"reason,omitempty"`
}

// Explain returns each value in force for a host, in the order of Values.
func (f *Fleet) Explain(id host.ID, failure domain.Failure, fabric domain.Fabric) []Explanation {
	return f.ExplainFor(Subject{Host: id, FailureDomain: failure, FabricDomain: fabric})
}

// ExplainFor returns each value in force for subject, in the order of Values.
func (f *Fleet) ExplainFor(subject Subject) []Explanation {
	from := map[string]int{}
	for i, e := range f.Exceptions {
		if !e.Selector.Matches(subject) {
			continue
		}
		for _, key := range e.Values.keys {
			from[key] = i
		}
	}
	var all []Explanation
	values := f.For(subject)
	eachValue(&values, func(key string, _ []int, value reflect.Value) {
		e := Explanation{Key: key, Value: fmt.Sprint(value.Interface()), Exception: -1}
		if i, changed := from[key]; changed {
			e.Exception = i
			e.Reason = f.Exceptions[i].Reason
		}
		all = append(all, e)
	})
	return all
}
