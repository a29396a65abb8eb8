package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

type directory struct{ path string }

// Directory returns a Disk that stores its files in a directory of the file system. The first write creates the
// directory.
//
// Example: disk := storage.Directory("/var/lib/pebbleloom/part-0")
func Directory(path string) Disk { return directory{path} }

// Read implements Disk.Read: it returns the content of a file in the directory.
func (d directory) Read(name string) ([]byte, bool, error) {
	content, err := os.ReadFile(filepath.Join(d.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return content, err == nil, err
}

// Write implements Disk.Write: it replaces the content of a file in the directory and syncs it.
func (d directory) Write(name string, content []byte) error {
	err := d.withFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, func(file *os.File) error {
		_, err := file.Write(content)
		return err
	})
	if err != nil {
		return err
	}
	// A newly created file or directory survives a crash only if the directory that contains its entry is synced.
	for _, path := range []string{d.path, filepath.Dir(d.path)} {
		if err := syncDirectory(path); err != nil {
			return err
		}
	}
	return nil
}

// Append implements Disk.Append: it appends to a file in the directory and syncs it.
func (d directory) Append(name string, content []byte) error {
	return d.withFile(name, os.O_WRONLY|os.O_APPEND, func(file *os.File) error {
		_, err := file.Write(content)
		return err
	})
}

// Truncate implements Disk.Truncate: it shortens a file in the directory and syncs it.
func (d directory) Truncate(name string, size int) error {
	return d.withFile(name, os.O_WRONLY, func(file *os.File) error { return file.Truncate(int64(size)) })
}

// withFile opens a file, applies a change to it, syncs it and closes it. It returns the first error.
func (d directory) withFile(name string, flag int, change func(*os.File) error) error {
	if err := os.MkdirAll(d.path, 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(d.path, name), flag, 0o644)
	if err != nil {
		return err
	}
	err = change(file)
	if syncErr := file.Sync(); err == nil {
		err = syncErr
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory syncs a directory, so that its entries survive a crash.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	dir.Close()
	return err
}
