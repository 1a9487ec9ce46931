package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// meteredReader passes data on in parts of a size, and counts them.
type meteredReader struct {
	data  []byte
	part  int
	meter meter
}

func (r *meteredReader) Read(p []byte) (int, error) {
	n := copy(p, r.data[:min(len(r.data), r.part)])
	r.data = r.data[n:]
	if n == 0 {
		return 0, io.EOF
	}
	r.meter.read(p[:n], len(p) <= readBufferSize)
	return n, nil
}

// fieldCount returns the number of fields in a header.
func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// FuzzMeterCountsWhatIsParsed guards against requests that take more memory than is accounted for: whatever the data and its parts, the
// lines and bytes counted are never fewer than those of the header that net/http has parsed.
func FuzzMeterCountsWhatIsParsed(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabcGET /2 HTTP/1.1\nHost: h\na:\nb:\nc:\n\nGET /3 HTTP/1.1\nHost: h\n\n"), 4096)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nx: y\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n a\r\n \r\n"), 1)
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nx: "+strings.Repeat("y", 5000)+"\r\n\r\n"), 100)
	f.Fuzz(func(t *testing.T, data []byte, part int) {
		r := &meteredReader{data: data, part: max(part%5000, 1)}
		buffer := bufio.NewReaderSize(r, readBufferSize)
		for {
			request, err := http.ReadRequest(buffer)
			if err != nil {
				return
			}
			size := len(request.Method) + len(request.RequestURI)
			for name, values := range request.Header {
				for _, v := range values {
					size += len(name) + len(v)
				}
			}
			require.GreaterOrEqual(t, r.meter.lines, fieldCount(request.Header))
			require.GreaterOrEqual(t, r.meter.size, size)
			r.meter.headerRead()
			_, err = io.Copy(io.Discard, request.Body)
			if err != nil {
				return
			}
			require.GreaterOrEqual(t, r.meter.restLines+r.meter.lines, fieldCount(request.Trailer), "the trailer counts by what was read last")
			r.meter.next()
		}
	})
}

// TestEmptyLinesBeforeARequestAreCounted guards against connections that send nothing but empty lines.
func TestEmptyLinesBeforeARequestAreCounted(t *testing.T) {
	var m meter
	m.read([]byte("\r\n\n\r"), true)
	m.read([]byte("\n"), true)
	require.Equal(t, 3, m.emptyLines)
	m.read([]byte("GET / HTTP/1.1\r\n\r\n\r\n"), true)
	require.Equal(t, 3, m.emptyLines)
	require.Equal(t, 2, m.restSize, "an empty line behind the header belongs to the next request")
}

// TestLongBodiesAreNotCounted guards against ordinary bodies that count as headers: they are read past the buffer of net/http.
func TestLongBodiesAreNotCounted(t *testing.T) {
	var m meter
	m.read([]byte("POST / HTTP/1.1\r\n\r\n"), true)
	m.headerRead()
	before := m.cost()
	m.read(bytes.Repeat([]byte("\n"), 1<<16), false)
	require.Equal(t, before, m.cost())
	m.next()
	require.Zero(t, m.cost())
}
