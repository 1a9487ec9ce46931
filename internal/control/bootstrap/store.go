package bootstrap

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/link/message"
)

const storeFile = "founders"

// Store saves the set of control hosts on disk.
type Store struct {
	Files  journal.FileSystem
	Folder string
}

// Load returns the saved set, or nil if there is none.
func (s Store) Load() ([]message.Founder, error) {
	data, err := s.Files.ReadFile(filepath.Join(s.Folder, storeFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the set of control hosts")
	}
	var controlHosts []message.Founder
	err = cbor.Unmarshal(data, &controlHosts)
	return controlHosts, errors.Wrap(err, "decode the set of control hosts")
}

// Save makes the set durable. The set that was saved before remains intact until then.
func (s Store) Save(set []message.Founder) error {
	data, err := cbor.Marshal(set)
	if err != nil {
		return errors.Wrap(err, "encode the set of control hosts")
	}
	if err := s.Files.MkdirAll(s.Folder); err != nil {
		return errors.Wrap(err, "save the set of control hosts")
	}
	return errors.Wrap(journal.ReplaceFile(s.Files, filepath.Join(s.Folder, storeFile), data), "save the set of control hosts")
}
