package suspicion

import "github.com/zeebo/xxh3"

// Key identifies what requests share and what may crash endpoints: a part of their prompts, or all that
// the requests consist of.
type Key struct {
	Hash uint64
	// Whole says that the key stands for all that the request consists of.
	Whole bool
}

// Identity is what the keys of a request are derived from.
type Identity struct {
	// Scope is the service and the model of the request. Keys of different scopes differ.
	Scope  string
	Team   string
	Method string
	Target string
	Body   []byte
	// Parts are the IDs of the parts of the prompt that other requests may share.
	Parts []string
}

// Keys returns the keys of a request, that of the whole request first. They are the same when a caller
// sends the request again.
func (i Identity) Keys() []Key {
	keys := make([]Key, 0, len(i.Parts)+1)
	keys = append(keys, Key{Hash: i.wholeHash(), Whole: true})
	for _, part := range i.Parts {
		keys = append(keys, Key{Hash: hashOf("part", i.Scope, part)})
	}
	return keys
}

func (i Identity) wholeHash() uint64 {
	h := xxh3.New()
	for _, text := range []string{"whole", i.Scope, i.Team, i.Method, i.Target} {
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
