// Package disk is a file system for tests whose disk can be full.
package disk

import (
	"sync/atomic"
	"syscall"

	"github.com/egretreach/egretreach/internal/control/journal"
)

// FileSystem is the operating system's file system, on which writes fail with ENOSPC while it is full. The zero value has room.
type FileSystem struct {
	journal.OSFileSystem
	full atomic.Bool
}

// SetFull makes the disk full, or gives it room again.
func (s *FileSystem) SetFull(full bool) { s.full.Store(full) }

// Create implements journal.FileSystem.
func (s *FileSystem) Create(name string) (journal.File, error) {
	f, err := s.OSFileSystem.Create(name)
	return file{File: f, fileSystem: s}, err
}

type file struct {
	journal.File
	fileSystem *FileSystem
}

// Write implements journal.File.
func (f file) Write(p []byte) (int, error) {
	if f.fileSystem.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}
