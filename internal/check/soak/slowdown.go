package main

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// slowdownInterval is the mean time between two slowdowns, and minSlowdown and maxSlowdown bound the duration of one.
	slowdownInterval = 4 * time.Second
	minSlowdown      = 500 * time.Millisecond
	maxSlowdown      = 2500 * time.Millisecond
	// slowdownPause and slowdownTurn are how long a slow process stands still and runs by turns.
	slowdownPause = 60 * time.Millisecond
	slowdownTurn  = 20 * time.Millisecond
)

// slowDown gives random gateways too little processor time, one after the other, until ctx ends: they stand still and run by turns, so that
// all they do is late, and they notice late that callers have left.
func (t *testbed) slowDown(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(slowdownInterval)))
		g := t.gateways[rng.IntN(gatewayCount)]
		duration := minSlowdown + time.Duration(rng.Int64N(int64(maxSlowdown-minSlowdown)))
		t.log("%s is slow for %v", g.name, duration)
		for end := time.Now().Add(duration); ctx.Err() == nil && time.Now().Before(end); {
			g.signal(syscall.SIGSTOP)
			time.Sleep(slowdownPause)
			g.signal(syscall.SIGCONT)
			time.Sleep(slowdownTurn)
		}
	}
}
