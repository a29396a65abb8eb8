package controlstate

import (
	"errors"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Bounds of the log, in bytes. Where the state is larger, its size counts instead.
const (
	compactLogBytes  = 1 << 20 // above which the log is compacted
	trailingLogBytes = 1 << 20 // of compacted entries that stay in memory for peers that lag
)

// snapshotFormat is the version of the snapshots that this program reads and writes.
const snapshotFormat = 1

// load recovers snapshot, log and state from the disk. An empty disk gets an initial snapshot. So does one that counts
// as lost: a corrupted one, once that is allowed (see replaceCorruptedDisk), and that of a member which the group was
// restored without.
func (s *shard) load(disk storage.Disk, initialSnapshot func(lost bool) *wire.Snapshot) (recovered storage.Recovered, err error) {
	s.store, recovered, err = storage.Open(disk)
	lost := false
	switch {
	case s.group == nil:
	case errors.Is(err, storage.ErrCorrupted):
		lost = true
		if s.replacementAllowed {
			s.log.Warn("a corrupted disk counts as lost: copies of its files are kept beside them", "error", err)
			s.store, err = storage.Replace(disk, storage.CorruptedCopies)
		}
	case err == nil && s.supersededBy != 0 && !s.replacementAllowed:
		return recovered, errSuperseded
	case err == nil && s.supersededBy != 0:
		lost = true
		s.log.Warn("the disk of a member which the group was restored without counts as lost: copies of its files are kept beside them")
		recovered = storage.Recovered{}
		s.store, err = storage.Replace(disk, storage.SupersededCopies)
	}
	if err != nil {
		return recovered, errs.Wrap(err, "open shard")
	}
	if recovered.Snapshot == nil {
		recovered.Snapshot = initialSnapshot(lost)
		if err := s.store.SaveSnapshot(recovered.Snapshot, nil); err != nil {
			return recovered, errs.Wrap(err, "store the first snapshot")
		}
		s.log.Info("empty disk: a new incarnation begins", "incarnation", recovered.Snapshot.HardState.Incarnation, "members", recovered.Snapshot.Members)
	}
	if recovered.TornBytes > 0 {
		s.log.Warn("torn tail of the log truncated", "bytes", recovered.TornBytes)
	}
	if err := checkFormat(recovered.Snapshot); err != nil {
		return recovered, err
	}
	s.snapshotBytes = len(recovered.Snapshot.State)
	return recovered, errs.WrapAs(s.state.load(recovered.Snapshot.State, s.clock.Now()), errs.DiskFailure, "read the snapshot's state")
}

func checkFormat(snapshot *wire.Snapshot) error {
	if snapshot.Format != snapshotFormat {
		return errs.New(errs.DiskFailure, "snapshot of format %d: this program reads format %d: start the newer program", snapshot.Format, snapshotFormat)
	}
	return nil
}

// persist writes and syncs what the core asks for: records to the log, or a leader's snapshot.
func (s *shard) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil {
		return errs.Wrap(s.store.Append(ready.Records), "persist")
	}
	return errs.Wrap(s.install(ready.Snapshot, ready.Records), "install")
}

// install replaces state and disk by a leader's snapshot and the records after it. The snapshot is
// decoded before it is stored: one that this program can't read must not replace one that it can.
func (s *shard) install(snapshot *wire.Snapshot, records []*wire.Record) error {
	if err := checkFormat(snapshot); err != nil {
		return err
	}
	installed := newState()
	if err := installed.load(snapshot.State, s.clock.Now()); err != nil {
		return errs.WrapAs(err, errs.DiskFailure, "read the snapshot's state")
	}
	if err := s.store.SaveSnapshot(snapshot, records); err != nil {
		return err
	}
	*s.state, s.snapshotBytes = *installed, len(snapshot.State)
	s.notifyWatchers()
	return nil
}

// compact replaces the log up to the applied state by a snapshot of that state.
func (s *shard) compact() error {
	body, err := s.state.save()
	if err != nil {
		return errs.Wrap(err, "save state")
	}
	s.snapshotBytes = len(body)
	return s.store.SaveSnapshot(s.core.Compact(body))
}
