package journal

import "path/filepath"

// ReplaceFile atomically replaces the content of a file and makes it durable. Until the rename,
// the old content stays complete. It returns ErrDiskFull or ErrIO.
func ReplaceFile(fileSystem FileSystem, name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := fileSystem.Create(temporary)
	if err != nil {
		return classifyError("create", temporary, err)
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return classifyError("write", temporary, err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return classifyError("sync", temporary, err)
	}
	if err := file.Close(); err != nil {
		return classifyError("close", temporary, err)
	}
	if err := fileSystem.Rename(temporary, name); err != nil {
		return classifyError("rename", temporary, err)
	}
	folder := filepath.Dir(name)
	return classifyError("sync folder", folder, fileSystem.SyncFolder(folder))
}
