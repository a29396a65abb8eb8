package storage

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

type faultyDisk struct {
	Disk
	switchFile string
}

// WithFaults is a Disk whose faults a file switches: "full", "sync" (every sync fails) or
// "stall MS" (every write takes that long). Failure tests write the file; no file, no fault.
//
// Example: d := storage.Faulty(storage.Folder(dir), "/tmp/run/core-1.fault")
func WithFaults(d Disk, file string) Disk { return faultyDisk{d, file} }

var errSync = errors.New("sync failed (switched on by a failure test)")

func (d faultyDisk) fault() error {
	b, err := os.ReadFile(d.switchFile)
	if err != nil {
		return nil // no switch, no fault
	}
	stall, err := ParseFault(string(b))
	time.Sleep(stall)
	return err
}

// ParseFault reads what a disk suffers from: how long a write stalls, or the error that it fails with.
//
// Example: stall, err := storage.Fault("stall 800")
func ParseFault(word string) (stall time.Duration, err error) {
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

func (d faultyDisk) Write(name string, b []byte) error {
	if err := d.fault(); err != nil {
		return err
	}
	return d.Disk.Write(name, b)
}

func (d faultyDisk) Append(name string, b []byte) error {
	if err := d.fault(); err != nil {
		return err
	}
	return d.Disk.Append(name, b)
}
