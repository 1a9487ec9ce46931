package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start of the case.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name) //nolint:gosec // The user names the folder.
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration { return time.Since(r.began) }

// add writes a line about who.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s: %s\n", r.since().Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	if who == "result" {
		fmt.Print(line)
	}
}

func (r *record) close() { _ = r.file.Close() }
