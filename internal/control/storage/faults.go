package storage

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var errSync = errors.New("sync failed (switched on by a failure test)")

type faultyDisk struct {
	Disk
	switchFile string
}

// WithFaults returns a Disk whose writes fail as the content of a file says (see ParseFault), which failure
// tests write. Without that file it has no faults.
//
// Example: disk := storage.WithFaults(storage.Directory(path), "/tmp/run/core-1.fault")
func WithFaults(disk Disk, switchFile string) Disk { return faultyDisk{disk, switchFile} }

// ParseFault returns how a fault affects a write: for how long it stalls, and the error that it fails with.
// The faults are "full" (the disk is full), "sync" (every sync fails) and "stall N" (every write takes N
// milliseconds longer). Any other description is no fault.
//
// Example: stall, err := storage.ParseFault("stall 800")
func ParseFault(description string) (stall time.Duration, err error) {
	fault, argument, _ := strings.Cut(strings.TrimSpace(description), " ")
	switch fault {
	case "full":
		return 0, syscall.ENOSPC
	case "sync":
		return 0, errSync
	case "stall":
		if milliseconds, err := strconv.Atoi(argument); err == nil {
			return time.Duration(milliseconds) * time.Millisecond, nil
		}
	}
	return 0, nil
}

// Write implements Disk.
func (d faultyDisk) Write(name string, content []byte) error {
	if err := d.fail(); err != nil {
		return err
	}
	return d.Disk.Write(name, content)
}

// Append implements Disk.
func (d faultyDisk) Append(name string, content []byte) error {
	if err := d.fail(); err != nil {
		return err
	}
	return d.Disk.Append(name, content)
}

// fail stalls, and returns the error of the fault that is switched on.
func (d faultyDisk) fail() error {
	description, err := os.ReadFile(d.switchFile)
	if err != nil {
		return nil // no file, no fault
	}
	stall, err := ParseFault(string(description))
	time.Sleep(stall)
	return err
}
