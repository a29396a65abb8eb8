package storage

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
// Example: d := storage.Faulty(storage.Folder(dir), "/tmp/run/core-1.fault")
func Faulty(d Disk, file string) Disk { return faulty{d, file} }

var errSync = errors.New("sync failed (switched on by a failure test)")

func (f faulty) fault() error {
	b, err := os.ReadFile(f.file)
	if err != nil {
		return nil // no switch, no fault
	}
	stall, err := Fault(string(b))
	time.Sleep(stall)
	return err
}

// Fault reads what a disk suffers from: how long a write stalls, or the error that it fails with.
//
// Example: stall, err := storage.Fault("stall 800")
func Fault(word string) (stall time.Duration, err error) {
	w, n, _ := strings.Cut(strings.TrimSpace(word), " ")
	switch w {
	case "full":
		return 0, syscall.ENOSPC
	case "sync":
		return 0, errSync
	case "stall":
		if ms, err := strconv.Atoi(n); err == nil {
			return time.Duration(ms) * time.Millisecond, nil
		}
	}
	return 0, nil
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
