package suspicion

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"strconv"

	"github.com/zeebo/xxh3"
)

// ignoredFields are the top-level fields of a body that do not affect what an engine computes.
var ignoredFields = []string{
	"idempotency_key", "metadata", "priority", "prompt_cache_key", "request_id", "safety_identifier",
	"service_tier", "store", "stream", "stream_options", "timeout", "user",
}

// BodyHash returns the hash of a request's method, path and body. A JSON body is hashed in
// canonical form: with sorted keys, without white space and ignoredFields, and with equal
// numbers in one notation. The hash is never 0.
func BodyHash(method, path string, body []byte) uint64 {
	hasher := xxh3.New()
	for _, part := range []string{method, path} {
		_, _ = hasher.WriteString(part)
		_, _ = hasher.Write([]byte{0})
	}
	_, _ = hasher.Write(normalise(body))
	return max(1, hasher.Sum64())
}

// normalise returns the canonical form of a JSON body, or the body itself.
func normalise(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return body
	}
	if _, err := decoder.Token(); err != io.EOF {
		return body
	}
	if object, ok := value.(map[string]any); ok {
		for _, field := range ignoredFields {
			delete(object, field)
		}
	}
	canonical, err := json.Marshal(canonicalNumbers(value))
	if err != nil {
		return body
	}
	return canonical
}

// canonicalNumbers replaces the numbers within a decoded JSON value, so that equal ones, such as
// 1, 1.0 and 1e0, have one notation.
func canonicalNumbers(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			v[key] = canonicalNumbers(member)
		}
	case []any:
		for i, member := range v {
			v[i] = canonicalNumbers(member)
		}
	case json.Number:
		return canonicalNumber(v)
	}
	return value
}

// maxExactInteger is the integer up to which a float64 represents all integers exactly. Larger
// numbers keep their notation.
const maxExactInteger = 1 << 53

func canonicalNumber(n json.Number) json.Number {
	f, err := n.Float64()
	if err != nil || math.Abs(f) > maxExactInteger {
		return n
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64))
}
