//go:build callers

package callers

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// target is a listener with an ordinary request.
type target struct {
	address, method, path string
	// header is the ordinary header without the request line.
	header string
	// body is the ordinary body.
	body string
}

// head returns the beginning of a request's header, without the empty line at its end.
func (t target) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s", method, t.path, t.header)
}

// ordinary returns the ordinary request.
func (t target) ordinary() string {
	if t.body == "" {
		return t.head(t.method) + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", t.head(t.method), len(t.body), t.body)
}

// kind is what a hostile caller does on one connection until its context ends or the connection does.
type kind struct {
	name string
	send func(ctx context.Context, c net.Conn, t target)
}

const (
	// legalHeader is the size of a header that header_bytes allows.
	legalHeader = 15_800
	// tokenLetters are letters of header names that don't turn into each other in canonical form.
	tokenLetters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	lineInterval = 20 * time.Millisecond
	linesAtOnce  = 20
)

// kinds are the loads of the plan's table.
var kinds = []kind{
	{"withheld", sendWithheld},
	{"endless", sendEndless},
	{"names", sendNames},
	{"oversized", sendOversized},
	{"empty", sendEmptyLines},
	{"pipelined", sendPipelined},
}

// shortLine returns the shortest header line with a name of one or two letters.
func shortLine(i int) string {
	first := tokenLetters[i%len(tokenLetters)]
	second := tokenLetters[i/len(tokenLetters)%len(tokenLetters)]
	return string([]byte{first, second, ':', '\n'})
}

// shortLines returns as many short lines as fit into size bytes.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len()+len(shortLine(i)) <= size; i++ {
		b.WriteString(shortLine(i))
	}
	return b.String()
}

// sendWithheld sends a whole header of short lines and no body.
func sendWithheld(ctx context.Context, c net.Conn, t target) {
	head := t.head("POST") + "Content-Length: 1000\r\n"
	_, _ = io.WriteString(c, head+shortLines(legalHeader-len(head))+"\r\n")
	<-ctx.Done()
}

// sendEndless sends a header that never ends, a few short lines at a time.
func sendEndless(ctx context.Context, c net.Conn, t target) {
	_, err := io.WriteString(c, t.head(t.method))
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	for i := 0; err == nil; i += linesAtOnce {
		var b strings.Builder
		for j := range linesAtOnce {
			b.WriteString(shortLine(i + j))
		}
		_, err = io.WriteString(c, b.String())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendNames sends a header of long names in no canonical form, and no body.
func sendNames(ctx context.Context, c net.Conn, t target) {
	var b strings.Builder
	b.WriteString(t.head("POST") + "Content-Length: 1000\r\n")
	for i := 0; b.Len() < legalHeader-200; i++ {
		fmt.Fprintf(&b, "%s%04d: v\r\n", strings.Repeat("x-Y_", 30), i)
	}
	_, _ = io.WriteString(c, b.String()+"\r\n")
	<-ctx.Done()
}

// sendOversized sends a header over every limit.
func sendOversized(_ context.Context, c net.Conn, t target) {
	if _, err := io.WriteString(c, t.head(t.method)+shortLines(100_000)); err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// sendEmptyLines sends an ordinary request and then empty lines without end.
func sendEmptyLines(_ context.Context, c net.Conn, t target) {
	_, err := io.WriteString(c, t.ordinary())
	for lines := strings.Repeat("\r\n", 500); err == nil; {
		_, err = io.WriteString(c, lines)
	}
}

// sendPipelined sends ordinary requests without end and reads no response.
func sendPipelined(_ context.Context, c net.Conn, t target) {
	_, err := io.WriteString(c, t.ordinary())
	for requests := strings.Repeat(t.ordinary(), 20); err == nil; {
		_, err = io.WriteString(c, requests)
	}
}

// runCrowd keeps count connections open to a target for a duration, of the given kinds by turns. A caller whose connection ends
// opens another one.
func runCrowd(ctx context.Context, t target, count int, lasts time.Duration, kinds ...kind) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	for i := range count {
		all.Go(func() {
			for ctx.Err() == nil {
				runCaller(ctx, t, kinds[i%len(kinds)])
			}
		})
	}
}

// reconnectInterval is the least time between two connections of a caller.
const reconnectInterval = 20 * time.Millisecond

// runCaller is one connection of a hostile caller.
func runCaller(ctx context.Context, t target, k kind) {
	next := time.NewTimer(reconnectInterval)
	defer next.Stop()
	if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address); err == nil {
		ended, end := context.WithCancel(ctx)
		closed := context.AfterFunc(ended, func() { _ = c.Close() })
		if k.name == "withheld" || k.name == "names" || k.name == "endless" {
			go func() {
				_, _ = io.Copy(io.Discard, c)
				end() // The server has closed the connection.
			}()
		}
		k.send(ended, c, t)
		end()
		closed()
		_ = c.Close()
	}
	select {
	case <-ctx.Done():
	case <-next.C:
	}
}
