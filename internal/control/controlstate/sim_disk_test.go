package controlstate

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sort"
)

// simDisk fails, stalls or loses power on demand. What a call has written when it returns is synced.
type simDisk struct {
	files       map[string][]byte
	failWrites  bool   // every write fails, as on a full disk
	powerBudget int    // bytes until the power fails; below zero: it doesn't
	beforeWrite func() // called before every write
}

// corruptSnapshots flips a bit of each snapshot among a disk's files, so that none can be read.
func corruptSnapshots(files map[string][]byte) {
	for _, name := range []string{"slot-0", "slot-1"} {
		if content := files[name]; len(content) > 0 {
			files[name] = bytes.Clone(content)
			files[name][len(content)-1] ^= 1
		}
	}
}

func newSimDisk() *simDisk { return &simDisk{files: map[string][]byte{}, powerBudget: -1} }

var errPowerLost, errDiskFull = errors.New("power lost"), errors.New("disk full")

func (d *simDisk) Read(name string) ([]byte, bool, error) {
	content, ok := d.files[name]
	return bytes.Clone(content), ok, nil
}

// appendBytes writes as much as the disk and its power allow.
func (d *simDisk) appendBytes(name string, appended []byte) error {
	if d.beforeWrite != nil {
		d.beforeWrite()
	}
	if d.failWrites {
		d.files[name] = append(d.files[name], appended[:len(appended)/2]...)
		return errDiskFull
	}
	if d.powerBudget >= 0 && len(appended) > d.powerBudget {
		d.files[name] = append(d.files[name], appended[:d.powerBudget]...)
		d.powerBudget = 0
		return errPowerLost
	}
	d.files[name] = append(d.files[name], appended...)
	if d.powerBudget >= 0 {
		d.powerBudget -= len(appended)
	}
	return nil
}

func (d *simDisk) Write(name string, appended []byte) error {
	if d.powerBudget == 0 {
		return errPowerLost
	}
	if d.failWrites {
		return errDiskFull
	}
	d.files[name] = nil
	return d.appendBytes(name, appended)
}
func (d *simDisk) Append(name string, appended []byte) error { return d.appendBytes(name, appended) }
func (d *simDisk) Truncate(name string, size int) error {
	d.files[name] = d.files[name][:size]
	return nil
}

// cacheDisk is a disk behind a cache. What was written and not synced survives the process, not a loss of
// power, which leaves each such file as it was before, complete, or torn. A failed sync is reported once:
// later ones of that file succeed, and sync nothing.
type cacheDisk struct {
	cached, synced   map[string][]byte
	syncFailed       map[string]bool
	random           *rand.Rand
	failWrites       bool
	writesUntilCrash int // until the process crashes in a write; below zero: it doesn't
	crashed          bool
	beforeWrite      func() // called before every write
}

func newCacheDisk(random *rand.Rand) *cacheDisk {
	return &cacheDisk{cached: map[string][]byte{}, synced: map[string][]byte{}, syncFailed: map[string]bool{}, random: random, writesUntilCrash: -1}
}

var errCrashed = errors.New("the process has crashed")

func (d *cacheDisk) Read(name string) ([]byte, bool, error) {
	content, ok := d.cached[name]
	return bytes.Clone(content), ok, nil
}

// write writes a file anew, or appends to its old content.
func (d *cacheDisk) write(name string, isNew bool, old, appended []byte) error {
	if d.crashed {
		return errCrashed
	}
	if d.beforeWrite != nil {
		d.beforeWrite()
	}
	content := append(bytes.Clone(old), appended...)
	switch {
	case d.writesUntilCrash == 0:
		d.crashed = true
		d.cached[name] = append(bytes.Clone(old), appended[:d.random.IntN(len(appended)+1)]...)
		return errCrashed
	case d.failWrites:
		d.cached[name], d.syncFailed[name] = content[:len(old)+len(appended)/2], true
		if d.random.IntN(2) == 0 {
			d.cached[name] = content // written, and the sync failed
		}
		return errDiskFull
	}
	if d.writesUntilCrash > 0 {
		d.writesUntilCrash--
	}
	d.cached[name] = content
	if isNew {
		delete(d.syncFailed, name)
	}
	if !d.syncFailed[name] {
		d.synced[name] = bytes.Clone(content)
	}
	return nil
}

func (d *cacheDisk) Write(name string, content []byte) error {
	return d.write(name, true, nil, content)
}
func (d *cacheDisk) Append(name string, content []byte) error {
	return d.write(name, false, d.cached[name], content)
}

func (d *cacheDisk) Truncate(name string, size int) error {
	if d.crashed {
		return errCrashed
	}
	d.cached[name] = d.cached[name][:size:size]
	if !d.syncFailed[name] {
		d.synced[name] = bytes.Clone(d.cached[name])
	}
	return nil
}

// corrupt makes what the disk holds unreadable.
func (d *cacheDisk) corrupt() {
	corruptSnapshots(d.cached)
	corruptSnapshots(d.synced)
}

// losePower drops what isn't synced, or parts of it.
func (d *cacheDisk) losePower() {
	dropAll := d.random.IntN(4) == 0 // at times everything that isn't synced is lost
	var names []string
	for name := range d.cached {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		cached, synced := d.cached[name], d.synced[name]
		if bytes.Equal(cached, synced) {
			continue
		}
		_, wasSynced := d.synced[name]
		switch choice := d.random.IntN(3); {
		case (dropAll || choice == 0) && !wasSynced:
			delete(d.cached, name)
		case dropAll || choice == 0:
			d.cached[name] = bytes.Clone(synced)
		case choice == 1 && bytes.HasPrefix(cached, synced):
			d.cached[name] = bytes.Clone(cached[:len(synced)+d.random.IntN(len(cached)-len(synced)+1)])
		case choice == 1:
			d.cached[name] = bytes.Clone(cached[:d.random.IntN(len(cached)+1)])
		}
		if content, ok := d.cached[name]; ok {
			d.synced[name] = bytes.Clone(content)
		}
	}
	clear(d.syncFailed)
}
