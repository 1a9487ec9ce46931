package attempt

import (
	"encoding/binary"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestKeptHeadersStayWithinTheLimit guards against a service whose answers have thousands of short header fields, which
// take many times the memory of their text.
func TestKeptHeadersStayWithinTheLimit(t *testing.T) {
	const (
		answers    = 64
		fields     = 8000
		totalBytes = 16 << 20
		maxHeld    = 2 * totalBytes
	)
	table := New(incarnation, Limits{TotalBytes: totalBytes})
	before := heapInUse()
	for i := range answers {
		ref := message.Ref{Attempt: 1}
		binary.BigEndian.PutUint32(ref.Request[:], uint32(i))
		require.NoError(t, table.Accept(ref, true))
		require.NoError(t, table.Start(ref))
		header := map[string][]string{}
		for n := range fields {
			header[strconv.Itoa(n)] = []string{strconv.Itoa(i)}
		}
		table.End(ref, request.OutcomeComplete, &message.Answer{Status: 200, Header: header}, time.Unix(0, 0))
	}
	require.LessOrEqual(t, heapInUse()-before, int64(maxHeld))
	runtime.KeepAlive(table)
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
