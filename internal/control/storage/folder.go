package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

type directory struct{ path string }

// Directory is the Disk of a real folder; it is made when missing.
//
// Example: d := storage.Folder("/var/lib/pebbleloom/part-0")
func Directory(dir string) Disk { return directory{dir} }

func (d directory) Read(name string) ([]byte, bool, error) {
	b, err := os.ReadFile(filepath.Join(d.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return b, err == nil, err
}

func (d directory) withFile(name string, flag int, do func(*os.File) error) error {
	if err := os.MkdirAll(d.path, 0o755); err != nil {
		return err
	}
	h, err := os.OpenFile(filepath.Join(d.path, name), flag, 0o644)
	if err != nil {
		return err
	}
	err = do(h)
	if e := h.Sync(); err == nil {
		err = e
	}
	if e := h.Close(); err == nil {
		err = e
	}
	return err
}

func (d directory) Write(name string, b []byte) error {
	err := d.withFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, func(h *os.File) error { _, e := h.Write(b); return e })
	if err != nil {
		return err
	}
	// The file's entry in the folder, and the folder's entry in its parent, are synced too.
	for _, d := range []string{d.path, filepath.Dir(d.path)} {
		h, err := os.Open(d)
		if err != nil {
			return err
		}
		err = h.Sync()
		h.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d directory) Append(name string, b []byte) error {
	return d.withFile(name, os.O_WRONLY|os.O_APPEND, func(h *os.File) error { _, e := h.Write(b); return e })
}

func (d directory) Truncate(name string, size int) error {
	return d.withFile(name, os.O_WRONLY, func(h *os.File) error { return h.Truncate(int64(size)) })
}
