package controlstate

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sort"
)

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

func newCacheDisk(r *rand.Rand) *cacheDisk {
	return &cacheDisk{cached: map[string][]byte{}, synced: map[string][]byte{}, syncFailed: map[string]bool{}, random: r, writesUntilCrash: -1}
}

var errCrashed = errors.New("the process has died")

func (d *cacheDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.cached[n]
	return bytes.Clone(b), ok, nil
}

func (d *cacheDisk) write(n string, whole bool, old, b []byte) error {
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
		d.cached[n] = append(bytes.Clone(old), b[:d.random.IntN(len(b)+1)]...)
		return errCrashed
	case d.failWrites:
		d.cached[n], d.syncFailed[n] = to[:len(old)+len(b)/2], true
		if d.random.IntN(2) == 0 {
			d.cached[n] = to // written, and the sync failed
		}
		return errDiskFull
	}
	if d.writesUntilCrash > 0 {
		d.writesUntilCrash--
	}
	d.cached[n] = to
	if whole {
		delete(d.syncFailed, n)
	}
	if !d.syncFailed[n] {
		d.synced[n] = bytes.Clone(to)
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
	var ns []string
	for n := range d.cached {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	for _, n := range ns {
		c, s := d.cached[n], d.synced[n]
		if bytes.Equal(c, s) {
			continue
		}
		_, there := d.synced[n]
		switch x := d.random.IntN(3); {
		case (all || x == 0) && !there:
			delete(d.cached, n)
		case all || x == 0:
			d.cached[n] = bytes.Clone(s)
		case x == 1 && bytes.HasPrefix(c, s):
			d.cached[n] = bytes.Clone(c[:len(s)+d.random.IntN(len(c)-len(s)+1)])
		case x == 1:
			d.cached[n] = bytes.Clone(c[:d.random.IntN(len(c)+1)])
		}
		if b, ok := d.cached[n]; ok {
			d.synced[n] = bytes.Clone(b)
		}
	}
	clear(d.syncFailed)
}
