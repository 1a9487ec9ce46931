package journal

import "github.com/egretreach/egretreach/internal/control/quorum"

// GiveUpVote takes the vote from the journal in folder for good. The log stays, so that the disk lacks little when it gets another
// vote. It must not be open. A corrupt journal is removed. It returns ErrLocked, ErrDiskFull or ErrIO like Open.
func GiveUpVote(fileSystem FileSystem, folder string) error {
	j, err := Open(fileSystem, folder)
	if IsErrCorrupt(err) {
		return discard(fileSystem, folder)
	}
	if err != nil {
		return err
	}
	hard := j.hard.WithoutVote()
	err = j.Write([]quorum.Persist{{Hard: &hard}})
	if closeErr := j.Close(); err == nil {
		err = closeErr
	}
	return err
}

// discard removes the journal in folder.
func discard(fileSystem FileSystem, folder string) error {
	j := &Journal{fileSystem: fileSystem, folder: folder}
	found, err := j.scanFolder()
	if err != nil {
		return err
	}
	for _, sequence := range found.segments {
		if err := j.removeFile(j.segmentName(sequence)); err != nil {
			return err
		}
	}
	for _, index := range found.snapshots {
		if err := j.removeFile(j.snapshotName(quorum.Index(index))); err != nil {
			return err
		}
	}
	return classifyError("sync folder", folder, fileSystem.SyncFolder(folder))
}
