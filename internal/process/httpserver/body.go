package httpserver

import "io"

const (
	// bodyCopies is how often a handler that reads a whole body holds it while its buffer grows.
	bodyCopies = 2
	// bodyStep is the least part of a body that is reserved, in bytes.
	bodyStep = 4 << 10
	// smallBody is the reservation up to which a body may use the reserve of a Budget.
	smallBody = 32 << 10
)

// countedBody is the body of a request that counts towards a Budget as it is read.
type countedBody struct {
	io.ReadCloser
	budget         *Budget
	read, reserved int64
}

// Read implements io.Reader. It returns ErrCallerMemory if there is no room for what has been read.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if missing := b.read*bodyCopies - b.reserved; missing > 0 {
		missing = max(missing, bodyStep)
		if !b.budget.reserveBody(missing, b.reserved+missing <= smallBody) {
			b.budget.countRefusal()
			return 0, ErrCallerMemory
		}
		b.reserved += missing
	}
	return n, err
}

// release gives back what the body has reserved.
func (b *countedBody) release() { b.budget.releaseBody(b.reserved) }
