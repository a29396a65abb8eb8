package storage

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var errSync = errors.New("sync failed (fault injected by a failure test)")

// faultyDisk injects the fault that is described in faultFile into the writes of a Disk.
type faultyDisk struct {
	Disk
	faultFile string
}

// WithFaults returns a Disk for failure tests, which injects a fault into every write while the file faultFile
// exists. The content of that file describes the fault; see ParseFault.
//
// Example: disk := storage.WithFaults(storage.Directory(path), "/tmp/run/core-1.fault")
func WithFaults(disk Disk, faultFile string) Disk { return faultyDisk{disk, faultFile} }

// ParseFault returns the effect of a fault on a write: how long the write stalls, and the error with which it
// fails. The descriptions are "full" (the disk is full), "sync" (every sync fails) and "stall N" (every write
// takes N milliseconds longer). Any other description means no fault.
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

// Write implements Disk.Write. It injects the fault before it calls the underlying disk.
func (d faultyDisk) Write(name string, content []byte) error {
	if err := d.injectFault(); err != nil {
		return err
	}
	return d.Disk.Write(name, content)
}

// Append implements Disk.Append. It injects the fault before it calls the underlying disk.
func (d faultyDisk) Append(name string, content []byte) error {
	if err := d.injectFault(); err != nil {
		return err
	}
	return d.Disk.Append(name, content)
}

// injectFault stalls the caller or returns an error, as the content of the fault file says.
func (d faultyDisk) injectFault() error {
	description, err := os.ReadFile(d.faultFile)
	if err != nil {
		return nil // without a readable fault file, writes are not disturbed
	}
	stall, err := ParseFault(string(description))
	time.Sleep(stall)
	return err
}
