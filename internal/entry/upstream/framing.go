package upstream

import "net/http"

// Framing is how the end of a response's body is determined (RFC 9112, section 6.3).
type Framing uint8

const (
	// FramingLength ends the body after its length, or with the head of a response that has none.
	FramingLength Framing = iota
	// FramingChunks ends the body with its last chunk.
	FramingChunks
	// FramingClose ends the body with the connection. It can't be distinguished from the end of the endpoint's process.
	FramingClose
)

// String returns the name in logs.
func (f Framing) String() string {
	switch f {
	case FramingChunks:
		return "chunks"
	case FramingClose:
		return "close"
	default:
		return "length"
	}
}

// Framing returns how the end of the response's body is determined.
func (x *Exchange) Framing() Framing { return framingOf(x.Response) }

func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	case r.ContentLength < 0 && (r.Request == nil || r.Request.Method != http.MethodHead):
		return FramingClose
	default:
		return FramingLength
	}
}
