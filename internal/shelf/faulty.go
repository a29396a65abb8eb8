package shelf

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

type faulty struct {
	Disk
	file string
}

// Faulty is a Disk whose faults a file switches: "full", "sync" (every sync fails) or
// "stall MS" (every write takes that long). Failure tests write the file; no file, no fault.
//
// Example: d := shelf.Faulty(shelf.Folder(dir), "/tmp/run/core-1.fault")
func Faulty(d Disk, file string) Disk { return faulty{d, file} }

var errSync = errors.New("sync failed (switched on by a failure test)")

func (f faulty) fault() error {
	b, err := os.ReadFile(f.file)
	if err != nil {
		return nil // no switch, no fault
	}
	w, n, _ := strings.Cut(strings.TrimSpace(string(b)), " ")
	switch w {
	case "full":
		return syscall.ENOSPC
	case "sync":
		return errSync
	case "stall":
		if ms, err := strconv.Atoi(n); err == nil {
			time.Sleep(time.Duration(ms) * time.Millisecond)
		}
	}
	return nil
}

func (f faulty) Write(name string, b []byte) error {
	if err := f.fault(); err != nil {
		return err
	}
	return f.Disk.Write(name, b)
}

func (f faulty) Append(name string, b []byte) error {
	if err := f.fault(); err != nil {
		return err
	}
	return f.Disk.Append(name, b)
}
