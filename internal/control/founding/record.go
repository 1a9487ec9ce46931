package founding

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/link/message"
)

const recordFile = "founders"

// Record keeps the set of control hosts on disk.
type Record struct {
	Files  journal.Files
	Folder string
}

// Load returns the set, or nothing if none was kept.
func (r Record) Load() ([]message.Founder, error) {
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
func (r Record) Save(set []message.Founder) error {
	data, err := cbor.Marshal(set)
	if err != nil {
		return errors.Wrap(err, "encode the set of control hosts")
	}
	if err := r.write(data); err != nil {
		return errors.Wrap(err, "keep the set of control hosts")
	}
	return nil
}

func (r Record) write(data []byte) error {
	if err := r.Files.MkdirAll(r.Folder); err != nil {
		return err
	}
	aside := filepath.Join(r.Folder, recordFile+".new")
	file, err := r.Files.Create(aside)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := r.Files.Rename(aside, filepath.Join(r.Folder, recordFile)); err != nil {
		return err
	}
	return r.Files.SyncFolder(r.Folder)
}
