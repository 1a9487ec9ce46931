package httphead

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// scanInPieces scans a text in pieces of a size, and returns the first error.
func scanInPieces(text string, size int) error {
	var s Scanner
	for len(text) > 0 {
		n := min(size, len(text))
		if err := s.Scan([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// invalidLines are lines that are no header field, each with the byte by which that is seen.
var invalidLines = map[string]byte{
	"X Odd: v": ' ', "X-Odd : v": ' ', "X-Odd\t: v": '\t', " X-Odd: v": ' ', "\tX-Odd: v": '\t', " ": ' ',
	"Content-Length : 7": ' ', "Transfer-Encoding : chunked": ' ',
	"X\x00Odd: v": 0, "X\x01Odd: v": 1, "X\x0bOdd: v": 0x0b, "X\x7fOdd: v": 0x7f, "X\x80Odd: v": 0x80,
	": v": ':', "no colon": ' ', "nocolon": '\r', "\rX-Odd: v": 'X', "X(Odd): v": '(',
}

// TestInvalidNamesAreFound guards against a line that is no header field, at any place of a head and however its bytes arrive.
func TestInvalidNamesAreFound(t *testing.T) {
	const field, end = "X-Sound: a b\r\n", "Content-Length: 2\r\n\r\nok"
	for line, invalid := range invalidLines {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\n" + field + end,
			"HTTP/1.1 200 OK\r\n" + field + line + "\r\n" + end,
			"HTTP/1.1 200 OK\n" + field + line + "\r\n" + end,
			"HTTP/1.1 503\r\n" + field + line + "\r\n" + end,
			"HTTP/1.1  103 Early\r\n" + field + "\r\nHTTP/1.1 200 OK\r\n" + line + "\r\n" + end,
			"HTTP/1.1 103 Early\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		} {
			for size := 1; size <= len(head); size++ {
				require.Equal(t, ErrInvalidName{Byte: invalid}, scanInPieces(head, size), "%q in pieces of %d", head, size)
			}
		}
	}
}

// TestSoundHeadsPass guards against an answer that is refused although its head is sound, and against one whose body is taken for a head.
func TestSoundHeadsPass(t *testing.T) {
	const body = "\r\n no: field\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK\r\n odd\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200\r\nA:\r\nB: \r\nC: a:b : c\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n",
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \tv\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 204 None\r\nA: b\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 200 " + strings.Repeat("x", 2*maxStatusPrefix) + "\r\nA: b\r\n\r\n",
	} {
		for size := 1; size <= len(head+body); size++ {
			require.NoError(t, scanInPieces(head+body, size), "%q in pieces of %d", head, size)
		}
	}
}

// FuzzScan compares Scanner with the reader of net/http. A head that both take must have fields with valid names only, in the reader's view, and
// one that Scanner takes must not be folded.
func FuzzScan(f *testing.F) {
	for line := range invalidLines {
		f.Add("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\n")
	}
	f.Add("HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		invalid := scanInPieces(text, len(text)+1)
		response, err := http.ReadResponse(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))), nil)
		if invalid != nil || err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		for name := range response.Header {
			require.NotContains(t, name, " ")
		}
	})
}

func ExampleScanner() {
	var s Scanner
	fmt.Println(s.Scan([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Le")))
	fmt.Println(s.Scan([]byte("ngth : 7\r\n")))
	// Output:
	// <nil>
	// invalid byte 0x20 in the name of a header field
}
