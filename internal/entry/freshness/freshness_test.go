package freshness

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAgeCountsFromTheQuestion guards against an age that counts from the arrival of a late answer: the state was the newest
// one when the question was asked, and may have been replaced since.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	var tracker Tracker
	began := time.Unix(1000, 0)
	_, known := tracker.Age(began)
	require.False(t, known)
	first := tracker.Ask(began)
	tracker.Ask(began.Add(time.Second))
	tracker.Confirm(first)
	age, known := tracker.Age(began.Add(3 * time.Second))
	require.True(t, known)
	require.Equal(t, 3*time.Second, age)
	tracker.Confirm(first + 1)
	age, _ = tracker.Age(began.Add(3 * time.Second))
	require.Equal(t, 2*time.Second, age)
	tracker.Confirm(99)
	age, _ = tracker.Age(began.Add(3 * time.Second))
	require.Equal(t, 2*time.Second, age, "question 99 was never asked")
}

// TestAnswerToEarlierQuestionEndsNoWait guards against a request that is taken to be confirmed by the answer to a question
// that was asked before it arrived.
func TestAnswerToEarlierQuestionEndsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker Tracker
		earlier := tracker.Ask(time.Now())
		needed := tracker.Next()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(100*time.Millisecond, func() { tracker.Confirm(earlier) })
		require.False(t, tracker.Wait(ctx, needed))
		later := tracker.Ask(time.Now())
		time.AfterFunc(100*time.Millisecond, func() { tracker.Confirm(later) })
		require.True(t, tracker.Wait(t.Context(), needed))
	})
}
