package journal

import "path/filepath"

// ReplaceFile gives a file new content, durably: until then the old content stays whole. Its
// errors are ErrDiskFull and ErrDisk.
func ReplaceFile(files FileSystem, name string, content []byte) error {
	aside := name + asideSuffix
	file, err := files.Create(aside)
	if err != nil {
		return failure("create", aside, err)
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return failure("write", aside, err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return failure("sync", aside, err)
	}
	if err := file.Close(); err != nil {
		return failure("close", aside, err)
	}
	if err := files.Rename(aside, name); err != nil {
		return failure("rename", aside, err)
	}
	folder := filepath.Dir(name)
	return failure("sync folder", folder, files.SyncFolder(folder))
}
