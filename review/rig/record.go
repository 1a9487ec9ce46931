// Package rig starts portals and gateways as separate processes on loopback addresses, with stand-ins
// for the platform's operator, servers and clients, for the cases of the review.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // The script of the case names the file.
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Since returns the time since the record was created.
func (r *Record) Since() time.Duration { return time.Since(r.started) }

// Logf writes one line with the time since the record was created.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes one line to the record and to the standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf("%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
