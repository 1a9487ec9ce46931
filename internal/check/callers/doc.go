// Package callers holds the tests of processes under callers that break the rules. They start the built binary on loopback
// addresses and need the build tag callers; `make callers` runs them one at a time.
package callers
