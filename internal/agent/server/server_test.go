package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

func TestDispatchReturnsWholeResponse(t *testing.T) {
	withFixture(t, func(f *fixture) {
		head := f.agent(1, engine.Options{})
		f.agent(2, engine.Options{})
		r := f.replica("r-1", 1, 2)
		d := generationDispatch(head, r, "summarise bay four", 20)
		got := f.dispatch(head, d)
		want, length, err := engine.Completion(d.Generate.Body)
		require.NoError(t, err)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		require.Equal(t, want, got.text)
		require.Equal(t, length, got.end.Length)
		require.Equal(t, "length", got.end.FinishReason)

		signed := f.dispatch(head, signoffDispatch(head, "badge"))
		require.Equal(t, 201, signed.head.Status)
		require.JSONEq(t, `{"signoff":1}`, signed.text)
	})
}
