package controlstate

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sort"
)

// simDisk is a disk in memory that can simulate a full disk, a slow disk or a loss of power. Every successful write is
// synced when it returns.
type simDisk struct {
	files               map[string][]byte
	failWrites          bool   // whether every write fails, as on a full disk
	bytesUntilPowerLoss int    // bytes that can still be written before the power fails; negative: it does not fail
	beforeWrite         func() // function that is called before every write to this disk
}

// corruptSnapshots flips a bit in each snapshot file of a disk, so that no snapshot can be decoded.
func corruptSnapshots(files map[string][]byte) {
	for _, name := range []string{"slot-0", "slot-1"} {
		if content := files[name]; len(content) > 0 {
			files[name] = bytes.Clone(content)
			files[name][len(content)-1] ^= 1
		}
	}
}

// newSimDisk returns an empty disk.
func newSimDisk() *simDisk { return &simDisk{files: map[string][]byte{}, bytesUntilPowerLoss: -1} }

var errPowerLost, errDiskFull = errors.New("simulated loss of power"), errors.New("simulated disk is full")

func (d *simDisk) Read(name string) ([]byte, bool, error) {
	content, ok := d.files[name]
	return bytes.Clone(content), ok, nil
}

// appendBytes appends to a file. If the disk is full or the power fails during the write, only a part is written.
func (d *simDisk) appendBytes(name string, appended []byte) error {
	if d.beforeWrite != nil {
		d.beforeWrite()
	}
	if d.failWrites {
		d.files[name] = append(d.files[name], appended[:len(appended)/2]...)
		return errDiskFull
	}
	if d.bytesUntilPowerLoss >= 0 && len(appended) > d.bytesUntilPowerLoss {
		d.files[name] = append(d.files[name], appended[:d.bytesUntilPowerLoss]...)
		d.bytesUntilPowerLoss = 0
		return errPowerLost
	}
	d.files[name] = append(d.files[name], appended...)
	if d.bytesUntilPowerLoss >= 0 {
		d.bytesUntilPowerLoss -= len(appended)
	}
	return nil
}

func (d *simDisk) Write(name string, appended []byte) error {
	if d.bytesUntilPowerLoss == 0 {
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

// cacheDisk is a disk in memory behind a page cache. Data that was written but not synced survives the end of the
// process. After a loss of power each file with such data is in its synced state, completely written, or torn. As on
// Linux, a failed sync is reported only once: later syncs of the file succeed without syncing the data.
type cacheDisk struct {
	cached, synced   map[string][]byte
	syncFailed       map[string]bool // files of which a sync has failed since they were last written anew
	random           *rand.Rand
	failWrites       bool
	writesUntilCrash int // writes until the process crashes during one; negative: it does not crash
	crashed          bool
	beforeWrite      func() // function that is called before every write to this disk
}

// newCacheDisk returns an empty disk that draws its random numbers from random.
func newCacheDisk(random *rand.Rand) *cacheDisk {
	return &cacheDisk{cached: map[string][]byte{}, synced: map[string][]byte{}, syncFailed: map[string]bool{}, random: random, writesUntilCrash: -1}
}

var errCrashed = errors.New("simulated crash of the process during a write")

func (d *cacheDisk) Read(name string) ([]byte, bool, error) {
	content, ok := d.cached[name]
	return bytes.Clone(content), ok, nil
}

// write appends to the old content of a file; replaces: the file is written anew, and old is empty.
func (d *cacheDisk) write(name string, replaces bool, old, appended []byte) error {
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
			d.cached[name] = content // the data was written completely, but its sync failed
		}
		return errDiskFull
	}
	if d.writesUntilCrash > 0 {
		d.writesUntilCrash--
	}
	d.cached[name] = content
	if replaces {
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

// corrupt makes the snapshots on the disk undecodable, both in the cache and as synced.
func (d *cacheDisk) corrupt() {
	corruptSnapshots(d.cached)
	corruptSnapshots(d.synced)
}

// losePower simulates a loss of power: each file loses all, a part or none of its data that was not synced.
func (d *cacheDisk) losePower() {
	dropAll := d.random.IntN(4) == 0 // in a quarter of the cases all files lose all data that was not synced
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
