package controlstate

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sort"
)

// simDisk fails, stalls or loses power on demand. Whatever a call returned from is synced.
type simDisk struct {
	files       map[string][]byte
	failWrites  bool   // every write fails: full, or a failed sync
	powerBudget int    // bytes until the power goes; below zero: never
	beforeWrite func() // called at every write: it may take its time
}

func newSimDisk() *simDisk { return &simDisk{files: map[string][]byte{}, powerBudget: -1} }

var errPowerLost, errDiskFull = errors.New("power lost"), errors.New("disk full")

func (d *simDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.files[n]
	return bytes.Clone(b), ok, nil
}

func (d *simDisk) appendBytes(n string, b []byte) error {
	if d.beforeWrite != nil {
		d.beforeWrite()
	}
	if d.failWrites {
		d.files[n] = append(d.files[n], b[:len(b)/2]...)
		return errDiskFull
	}
	if d.powerBudget >= 0 && len(b) > d.powerBudget {
		d.files[n] = append(d.files[n], b[:d.powerBudget]...)
		d.powerBudget = 0
		return errPowerLost
	}
	d.files[n] = append(d.files[n], b...)
	if d.powerBudget >= 0 {
		d.powerBudget -= len(b)
	}
	return nil
}

func (d *simDisk) Write(n string, b []byte) error {
	if d.powerBudget == 0 {
		return errPowerLost
	}
	if d.failWrites {
		return errDiskFull
	}
	d.files[n] = nil
	return d.appendBytes(n, b)
}
func (d *simDisk) Append(n string, b []byte) error { return d.appendBytes(n, b) }
func (d *simDisk) Truncate(n string, s int) error  { d.files[n] = d.files[n][:s]; return nil }

// cacheDisk is a disk behind a cache. What was written and not synced lives on with the machine,
// also when the process dies; a loss of power leaves each such file as it was, whole, or torn.
// A sync that failed is told once: later ones of that file say nothing more and help nothing.
type cacheDisk struct {
	cached, synced   map[string][]byte
	syncFailed       map[string]bool
	random           *rand.Rand
	failWrites       bool
	writesUntilCrash int // writes until the process dies in one; below zero: never
	crashed          bool
	beforeWrite      func() // called before every write
}

func newCacheDisk(random *rand.Rand) *cacheDisk {
	return &cacheDisk{cached: map[string][]byte{}, synced: map[string][]byte{}, syncFailed: map[string]bool{}, random: random, writesUntilCrash: -1}
}

var errCrashed = errors.New("the process has died")

func (d *cacheDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.cached[n]
	return bytes.Clone(b), ok, nil
}

func (d *cacheDisk) write(name string, whole bool, old, b []byte) error {
	if d.crashed {
		return errCrashed
	}
	if d.beforeWrite != nil {
		d.beforeWrite()
	}
	to := append(bytes.Clone(old), b...)
	switch {
	case d.writesUntilCrash == 0:
		d.crashed = true
		d.cached[name] = append(bytes.Clone(old), b[:d.random.IntN(len(b)+1)]...)
		return errCrashed
	case d.failWrites:
		d.cached[name], d.syncFailed[name] = to[:len(old)+len(b)/2], true
		if d.random.IntN(2) == 0 {
			d.cached[name] = to // written, and the sync failed
		}
		return errDiskFull
	}
	if d.writesUntilCrash > 0 {
		d.writesUntilCrash--
	}
	d.cached[name] = to
	if whole {
		delete(d.syncFailed, name)
	}
	if !d.syncFailed[name] {
		d.synced[name] = bytes.Clone(to)
	}
	return nil
}

func (d *cacheDisk) Write(n string, b []byte) error  { return d.write(n, true, nil, b) }
func (d *cacheDisk) Append(n string, b []byte) error { return d.write(n, false, d.cached[n], b) }

func (d *cacheDisk) Truncate(n string, s int) error {
	if d.crashed {
		return errCrashed
	}
	d.cached[n] = d.cached[n][:s:s]
	if !d.syncFailed[n] {
		d.synced[n] = bytes.Clone(d.cached[n])
	}
	return nil
}

// losePower leaves what a loss of power leaves.
func (d *cacheDisk) losePower() {
	all := d.random.IntN(4) == 0 // at some, everything that wasn't synced is gone
	var names []string
	for n := range d.cached {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, name := range names {
		c, s := d.cached[name], d.synced[name]
		if bytes.Equal(c, s) {
			continue
		}
		_, there := d.synced[name]
		switch choice := d.random.IntN(3); {
		case (all || choice == 0) && !there:
			delete(d.cached, name)
		case all || choice == 0:
			d.cached[name] = bytes.Clone(s)
		case choice == 1 && bytes.HasPrefix(c, s):
			d.cached[name] = bytes.Clone(c[:len(s)+d.random.IntN(len(c)-len(s)+1)])
		case choice == 1:
			d.cached[name] = bytes.Clone(c[:d.random.IntN(len(c)+1)])
		}
		if b, ok := d.cached[name]; ok {
			d.synced[name] = bytes.Clone(b)
		}
	}
	clear(d.syncFailed)
}
