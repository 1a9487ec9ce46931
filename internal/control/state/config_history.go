package state

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// maxChangesKept is the number of latest changes whose IDs are remembered.
	maxChangesKept = 4096
	// maxTextsKept and maxTextBytesKept limit the latest configurations whose text is kept. The text of the latest one always is.
	maxTextsKept     = 32
	maxTextBytesKept = 8 << 20
)

// configChange is one accepted change of the configuration.
type configChange struct {
	message.ConfigChange `cbor:"1,keyasint"`
	Base                 view.Revision `cbor:"2,keyasint"`
	Sum                  [32]byte      `cbor:"3,keyasint"`
	// YAML is the text of the configuration, or nil if it is no longer kept.
	YAML []byte `cbor:"4,keyasint,omitempty"`
}

// configHistory holds the accepted changes, the oldest first.
type configHistory struct {
	Changes []configChange `cbor:"1,keyasint,omitempty"`
}

// apply accepts c if its base is the latest revision. A change ID that was accepted
// before gets the first result again.
func (h *configHistory) apply(nowMs int64, c ApplyConfig) ConfigApplied {
	sum := sha256.Sum256(c.YAML)
	if i := h.indexOfChange(c.ChangeID); i >= 0 {
		return h.repeatResult(h.Changes[i], sum)
	}
	latest := h.latestRevision()
	if c.Base != latest {
		return ConfigApplied{Revision: latest, Conflict: h.conflictWith(c.Base)}
	}
	h.Changes = append(h.Changes, configChange{
		ConfigChange: message.ConfigChange{
			Revision: latest + 1, ChangeID: c.ChangeID, Operator: c.Operator, UnixMs: nowMs,
		},
		Base: c.Base, Sum: sum, YAML: c.YAML,
	})
	h.trim()
	return ConfigApplied{Accepted: true, Revision: latest + 1}
}

func (h *configHistory) repeatResult(first configChange, sum [32]byte) ConfigApplied {
	if first.Sum != sum {
		return ConfigApplied{
			Revision: h.latestRevision(),
			Conflict: fmt.Sprintf("change ID %s was used for another configuration", first.ChangeID),
		}
	}
	return ConfigApplied{Accepted: true, Revision: first.Revision}
}

func (h *configHistory) indexOfChange(changeID string) int {
	return slices.IndexFunc(h.Changes, func(c configChange) bool { return c.ChangeID == changeID })
}

// conflictWith describes the change that was accepted on base instead of the offered one.
func (h *configHistory) conflictWith(base view.Revision) string {
	for _, c := range h.Changes {
		if c.Base == base {
			return fmt.Sprintf("change %s by %s took revision %d", c.ChangeID, c.Operator, c.Revision)
		}
	}
	return fmt.Sprintf("no change on revision %d is known; the latest revision is %d", base, h.latestRevision())
}

func (h *configHistory) trim() {
	if over := len(h.Changes) - maxChangesKept; over > 0 {
		h.Changes = slices.Delete(h.Changes, 0, over)
	}
	h.trimTexts()
}

// trimTexts drops the texts of the oldest configurations beyond the limits.
func (h *configHistory) trimTexts() {
	texts, bytes := 0, 0
	for i := range slices.Backward(h.Changes) {
		c := &h.Changes[i]
		if c.YAML == nil {
			return // All older texts are gone too.
		}
		texts++
		bytes += len(c.YAML)
		if texts > 1 && (texts > maxTextsKept || bytes > maxTextBytesKept) {
			c.YAML = nil
		}
	}
}

func (h *configHistory) latestRevision() view.Revision {
	if len(h.Changes) == 0 {
		return 0
	}
	return h.Changes[len(h.Changes)-1].Revision
}

// Revision returns the revision of the latest accepted configuration, or 0 if there is
// none.
func (m *Machine) Revision() view.Revision { return m.config.latestRevision() }

// Config returns the configuration of a revision, or the latest one for revision 0. It
// returns false if there is none or its text is no longer kept.
func (m *Machine) Config(revision view.Revision) (view.Revision, []byte, bool) {
	if revision == 0 {
		revision = m.config.latestRevision()
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
