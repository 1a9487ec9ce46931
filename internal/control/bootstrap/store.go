package bootstrap

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/link/message"
)

const recordFile = "founders"

// Store keeps the set of control hosts on disk.
type Store struct {
	Files  journal.FileSystem
	Folder string
}

// Load returns the set, or nothing if none was kept.
func (r Store) Load() ([]message.Founder, error) {
	data, err := r.Files.ReadFile(filepath.Join(r.Folder, recordFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the set of control hosts")
	}
	var kept []message.Founder
	err = cbor.Unmarshal(data, &kept)
	return kept, errors.Wrap(err, "decode the set of control hosts")
}

// Save makes the set durable. A set that was kept before stays whole until then.
func (r Store) Save(set []message.Founder) error {
	data, err := cbor.Marshal(set)
	if err != nil {
		return errors.Wrap(err, "encode the set of control hosts")
	}
	if err := r.Files.MkdirAll(r.Folder); err != nil {
		return errors.Wrap(err, "keep the set of control hosts")
	}
	return errors.Wrap(journal.ReplaceFile(r.Files, filepath.Join(r.Folder, recordFile), data), "keep the set of control hosts")
}
