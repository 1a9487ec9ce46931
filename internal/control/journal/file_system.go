package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// FileSystem is the part of a file system that a journal uses. Tests implement it to inject
// faults.
type FileSystem interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(folder string) error
	// List returns the names of the files in a folder.
	List(folder string) ([]string, error)
	// ReadFile returns a file's whole content.
	ReadFile(name string) ([]byte, error)
	// Create creates a file for writing. It truncates an existing file.
	Create(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(folder string) error
	// Lock locks the file name until the returned value is closed or the process ends. It returns
	// ErrLocked if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written sequentially from its start.
type File interface {
	io.Writer
	// Sync makes everything written so far durable.
	Sync() error
	Close() error
}

// OSFileSystem implements FileSystem with the operating system's file system.
type OSFileSystem struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// MkdirAll implements FileSystem.
func (OSFileSystem) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

// List implements FileSystem.
func (OSFileSystem) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FileSystem.
func (OSFileSystem) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncFolder implements FileSystem.
func (OSFileSystem) SyncFolder(folder string) error {
	f, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Lock implements FileSystem with flock(2).
func (OSFileSystem) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked{File: name}
	}
	return nil, err
}
