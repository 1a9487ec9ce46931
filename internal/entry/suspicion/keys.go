package suspicion

import "github.com/zeebo/xxh3"

// Key identifies what requests have in common and what may crash endpoints: a part of their prompts, or
// the whole request.
type Key struct {
	Hash uint64
	// Whole says that the key identifies the whole request.
	Whole bool
}

// ScopeKeys are the keys of a request within a scope: requests that may crash the same endpoints because of a common
// part, such as those for a model, or for all models of a service. Keys of different scopes differ.
type ScopeKeys struct {
	Scope string
	Keys  []Key
}

// KeySet holds the keys of a request by scope, the narrowest first. The first key is that of the whole request, if there is one.
type KeySet []ScopeKeys

// All returns the keys of all scopes.
func (s KeySet) All() []Key {
	var all []Key
	for _, scope := range s {
		all = append(all, scope.Keys...)
	}
	return all
}

// Identity is what the keys of a request are derived from.
type Identity struct {
	// Scopes are those of the request, the narrowest first.
	Scopes []string
	Team   string
	Method string
	Target string
	Body   []byte
	// Parts are the IDs of the parts of the prompt that other requests may share.
	Parts []string
}

// Keys returns the keys of a request: that of the whole request in the narrowest scope, and those of its parts in each. They are
// the same when a caller sends the request again.
func (i Identity) Keys() KeySet {
	set := i.PartKeys()
	set[0].Keys = append([]Key{{Hash: i.wholeHash(), Whole: true}}, set[0].Keys...)
	return set
}

// PartKeys returns the keys of the parts of a request in each scope. A request without parts belongs to the narrowest scope only.
func (i Identity) PartKeys() KeySet {
	scopes := i.Scopes
	if len(i.Parts) == 0 {
		scopes = scopes[:1]
	}
	set := make(KeySet, 0, len(scopes))
	for _, scope := range scopes {
		keys := make([]Key, 0, len(i.Parts)+1)
		for _, part := range i.Parts {
			keys = append(keys, Key{Hash: hashOf("part", scope, part)})
		}
		set = append(set, ScopeKeys{scope, keys})
	}
	return set
}

func (i Identity) wholeHash() uint64 {
	h := xxh3.New()
	for _, text := range []string{"whole", i.Scopes[0], i.Team, i.Method, i.Target} {
		_, _ = h.WriteString(text) // Writing to a hash never fails.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(i.Body)
	return h.Sum64()
}

func hashOf(texts ...string) uint64 {
	h := xxh3.New()
	for _, text := range texts {
		_, _ = h.WriteString(text) // Writing to a hash never fails.
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
