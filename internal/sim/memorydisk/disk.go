// Package memorydisk is a disk in memory for the processes of a simulated site, on which every write is durable at once.
package memorydisk

import (
	"bytes"
	"sync"
)

// Disk implements storage.Disk. The zero value is an empty disk. All methods are safe for concurrent use.
type Disk struct {
	mu    sync.Mutex
	files map[string][]byte
}

// Read returns the content of a file, and false if there is none of that name.
//
// Example: content, ok, err := disk.Read("log")
func (d *Disk) Read(name string) ([]byte, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	content, ok := d.files[name]
	return bytes.Clone(content), ok, nil
}

// Write replaces a file.
//
// Example: err := disk.Write("snapshot", content)
func (d *Disk) Write(name string, content []byte) error {
	return d.update(name, func([]byte) []byte { return bytes.Clone(content) })
}

// Append adds content to the end of a file.
//
// Example: err := disk.Append("log", record)
func (d *Disk) Append(name string, content []byte) error {
	return d.update(name, func(old []byte) []byte { return append(old, content...) })
}

// Truncate shortens a file to size bytes.
//
// Example: err := disk.Truncate("log", 128)
func (d *Disk) Truncate(name string, size int) error {
	return d.update(name, func(old []byte) []byte { return old[:size] })
}

func (d *Disk) update(name string, change func(old []byte) []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files == nil {
		d.files = map[string][]byte{}
	}
	d.files[name] = change(d.files[name])
	return nil
}
