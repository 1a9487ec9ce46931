package state

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// maxChanges bounds the changes whose IDs are remembered.
	maxChanges = 4096
	// maxTexts bounds the configurations whose text is kept.
	maxTexts = 32
)

// change is one accepted configuration.
type change struct {
	message.ConfigChange `cbor:"1,keyasint"`
	Base                 view.Revision `cbor:"2,keyasint"`
	Sum                  [32]byte      `cbor:"3,keyasint"`
	// YAML is nil in changes older than the last maxTexts.
	YAML []byte `cbor:"4,keyasint,omitempty"`
}

// history holds the accepted configurations, the oldest first.
type history struct {
	Changes []change `cbor:"1,keyasint,omitempty"`
}

// apply accepts c if its base is the latest revision. A change ID that has been
// accepted gets its first answer again.
func (h *history) apply(nowMs int64, c ApplyConfig) ConfigApplied {
	sum := sha256.Sum256(c.YAML)
	if i := h.index(c.ChangeID); i >= 0 {
		return h.again(h.Changes[i], sum)
	}
	latest := h.latest()
	if c.Base != latest {
		return ConfigApplied{Revision: latest, Conflict: h.winner(c.Base)}
	}
	h.Changes = append(h.Changes, change{
		ConfigChange: message.ConfigChange{
			Revision: latest + 1, ChangeID: c.ChangeID, Operator: c.Operator, UnixMs: nowMs,
		},
		Base: c.Base, Sum: sum, YAML: c.YAML,
	})
	h.bound()
	return ConfigApplied{Accepted: true, Revision: latest + 1}
}

func (h *history) again(first change, sum [32]byte) ConfigApplied {
	if first.Sum != sum {
		return ConfigApplied{
			Revision: h.latest(),
			Conflict: fmt.Sprintf("change ID %s was used for another configuration", first.ChangeID),
		}
	}
	return ConfigApplied{Accepted: true, Revision: first.Revision}
}

func (h *history) index(changeID string) int {
	return slices.IndexFunc(h.Changes, func(c change) bool { return c.ChangeID == changeID })
}

// winner describes the change that was accepted on base in the offered one's place.
func (h *history) winner(base view.Revision) string {
	for _, c := range h.Changes {
		if c.Base == base {
			return fmt.Sprintf("change %s by %s took revision %d", c.ChangeID, c.Operator, c.Revision)
		}
	}
	return fmt.Sprintf("no change on revision %d is known; the latest revision is %d", base, h.latest())
}

func (h *history) bound() {
	if over := len(h.Changes) - maxChanges; over > 0 {
		h.Changes = slices.Delete(h.Changes, 0, over)
	}
	if old := len(h.Changes) - maxTexts - 1; old >= 0 {
		h.Changes[old].YAML = nil
	}
}

func (h *history) latest() view.Revision {
	if len(h.Changes) == 0 {
		return 0
	}
	return h.Changes[len(h.Changes)-1].Revision
}

// Revision returns the latest accepted configuration's revision, 0 for none.
func (m *Machine) Revision() view.Revision { return m.config.latest() }

// Config returns the configuration of a revision, 0 for the latest. It is false if
// there is none or its text is no longer kept.
func (m *Machine) Config(revision view.Revision) (view.Revision, []byte, bool) {
	if revision == 0 {
		revision = m.config.latest()
	}
	for _, c := range slices.Backward(m.config.Changes) {
		if c.Revision == revision && c.YAML != nil {
			return revision, c.YAML, true
		}
		if c.YAML == nil {
			break // All older texts are gone too.
		}
	}
	return 0, nil, false
}

// History returns the accepted changes, the oldest first.
func (m *Machine) History() []message.ConfigChange {
	changes := make([]message.ConfigChange, len(m.config.Changes))
	for i, c := range m.config.Changes {
		changes[i] = c.ConfigChange
	}
	return changes
}
