package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestGenerationHasAConnectionOfItsOwn guards against an engine that writes an earlier refusal once more on a kept connection, which the
// agent would take for the refusal of a generation that the engine runs. The transports that an agent uses must not undo this.
func TestGenerationHasAConnectionOfItsOwn(t *testing.T) {
	connections := map[string]string{}
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.URL.Path] = r.RemoteAddr
		_, _ = io.WriteString(w, "{}")
	}))
	defer e.Close()
	s := New(Options{EngineURL: e.URL})
	_, _ = s.engine.Report(t.Context())                                                                       // The answers don't matter.
	_, _ = s.engine.Generate(t.Context(), &message.Dispatch{Generate: &message.Generate{Path: "/v1/x"}}, nil) // Nor does this one.
	require.Len(t, connections, 2)
	require.NotEqual(t, connections[engine.PathLoad], connections[engine.PathGenerate])
}
