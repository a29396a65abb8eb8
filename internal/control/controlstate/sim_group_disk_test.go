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
	cache, safe map[string][]byte
	lame        map[string]bool
	r           *rand.Rand
	fail        bool
	dieIn       int // writes until the process dies in one; below zero: never
	died        bool
	slow        func() // called before every write
}

func newCacheDisk(r *rand.Rand) *cacheDisk {
	return &cacheDisk{cache: map[string][]byte{}, safe: map[string][]byte{}, lame: map[string]bool{}, r: r, dieIn: -1}
}

var errDied = errors.New("the process has died")

func (d *cacheDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.cache[n]
	return bytes.Clone(b), ok, nil
}

func (d *cacheDisk) change(n string, whole bool, old, b []byte) error {
	if d.died {
		return errDied
	}
	if d.slow != nil {
		d.slow()
	}
	to := append(bytes.Clone(old), b...)
	switch {
	case d.dieIn == 0:
		d.died = true
		d.cache[n] = append(bytes.Clone(old), b[:d.r.IntN(len(b)+1)]...)
		return errDied
	case d.fail:
		d.cache[n], d.lame[n] = to[:len(old)+len(b)/2], true
		if d.r.IntN(2) == 0 {
			d.cache[n] = to // written, and the sync failed
		}
		return errFull
	}
	if d.dieIn > 0 {
		d.dieIn--
	}
	d.cache[n] = to
	if whole {
		delete(d.lame, n)
	}
	if !d.lame[n] {
		d.safe[n] = bytes.Clone(to)
	}
	return nil
}

func (d *cacheDisk) Write(n string, b []byte) error  { return d.change(n, true, nil, b) }
func (d *cacheDisk) Append(n string, b []byte) error { return d.change(n, false, d.cache[n], b) }

func (d *cacheDisk) Truncate(n string, s int) error {
	if d.died {
		return errDied
	}
	d.cache[n] = d.cache[n][:s:s]
	if !d.lame[n] {
		d.safe[n] = bytes.Clone(d.cache[n])
	}
	return nil
}

// powerLost leaves what a loss of power leaves.
func (d *cacheDisk) powerLost() {
	all := d.r.IntN(4) == 0 // at some, everything that wasn't synced is gone
	var ns []string
	for n := range d.cache {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	for _, n := range ns {
		c, s := d.cache[n], d.safe[n]
		if bytes.Equal(c, s) {
			continue
		}
		_, there := d.safe[n]
		switch x := d.r.IntN(3); {
		case (all || x == 0) && !there:
			delete(d.cache, n)
		case all || x == 0:
			d.cache[n] = bytes.Clone(s)
		case x == 1 && bytes.HasPrefix(c, s):
			d.cache[n] = bytes.Clone(c[:len(s)+d.r.IntN(len(c)-len(s)+1)])
		case x == 1:
			d.cache[n] = bytes.Clone(c[:d.r.IntN(len(c)+1)])
		}
		if b, ok := d.cache[n]; ok {
			d.safe[n] = bytes.Clone(b)
		}
	}
	clear(d.lame)
}
