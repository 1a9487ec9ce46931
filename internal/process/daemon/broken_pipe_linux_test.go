package daemon

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

const stdout = 1

// TestLogWithoutReaderDoesNotEndTheProcess guards against a SIGPIPE, which ends the process and cuts
// the requests in flight, when what reads the log has ended.
func TestLogWithoutReaderDoesNotEndTheProcess(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	saved, err := syscall.Dup(stdout)
	require.NoError(t, err)
	defer func() { _ = syscall.Close(saved) }()
	ignoreBrokenPipes()
	defer signal.Reset(syscall.SIGPIPE)

	require.NoError(t, syscall.Dup3(int(writer.Fd()), stdout, 0))
	_, writeErr := os.Stdout.WriteString("a line\n")
	require.NoError(t, syscall.Dup3(saved, stdout, 0))
	require.NoError(t, writer.Close())
	require.ErrorIs(t, writeErr, syscall.EPIPE)
}
