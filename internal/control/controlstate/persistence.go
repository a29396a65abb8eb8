package controlstate

import (
	"errors"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Limits of the consensus log, in bytes. A limit that is smaller than the encoded state is raised to the size of
// that state.
const (
	compactLogBytes  = 1 << 20 // log size on disk above which the log is compacted
	trailingLogBytes = 1 << 20 // size of the compacted log entries that are kept in memory for lagging peers
)

// snapshotFormat is the version of the snapshot format that this release reads and writes.
const snapshotFormat = 1

// load recovers the shard's snapshot, log and state from the disk. An empty disk gets an initial snapshot. So does
// a disk that counts as lost, because it is corrupted or because the group was restored without this member, once
// replacementAllowed is set (replaceCorruptedDisk, replaceSupersededDisk).
func (s *shard) load(disk storage.Disk, initialSnapshot func(lost bool) *wire.Snapshot) (recovered storage.Recovered, err error) {
	s.store, recovered, err = storage.Open(disk)
	lost := false
	switch {
	case s.group == nil:
	case errors.Is(err, storage.ErrCorrupted):
		lost = true
		if s.replacementAllowed {
			s.log.Warn("replacing corrupted control node disk; the old files are kept as copies in the same directory", "error", err)
			s.store, err = storage.Replace(disk, storage.CorruptedCopies)
		}
	case err == nil && s.supersededBy != 0 && !s.replacementAllowed:
		return recovered, errSuperseded
	case err == nil && s.supersededBy != 0:
		lost = true
		s.log.Warn("replacing control node disk because the group was restored without this member; the old files are kept as copies in the same directory")
		recovered = storage.Recovered{}
		s.store, err = storage.Replace(disk, storage.SupersededCopies)
	}
	if err != nil {
		return recovered, errs.Wrap(err, "open the shard's storage")
	}
	if recovered.Snapshot == nil {
		recovered.Snapshot = initialSnapshot(lost)
		if err := s.store.SaveSnapshot(recovered.Snapshot, nil); err != nil {
			return recovered, errs.Wrap(err, "store the initial snapshot of an empty disk")
		}
		s.log.Info("control node disk is empty; starting with a new incarnation", "incarnation", recovered.Snapshot.HardState.Incarnation, "members", recovered.Snapshot.Members)
	}
	if recovered.TornBytes > 0 {
		s.log.Warn("truncated incomplete record at the end of the consensus log", "bytes", recovered.TornBytes)
	}
	if err := checkFormat(recovered.Snapshot); err != nil {
		return recovered, err
	}
	s.snapshotBytes = len(recovered.Snapshot.State)
	return recovered, errs.WrapAs(s.state.load(recovered.Snapshot.State, s.clock.Now()), errs.DiskFailure, "decode the shard state in the snapshot")
}

// checkFormat returns an error if this release cannot read the format of a snapshot.
func checkFormat(snapshot *wire.Snapshot) error {
	if snapshot.Format != snapshotFormat {
		return errs.New(errs.DiskFailure, "snapshot has format %d but this release reads format %d: run the release that wrote the snapshot", snapshot.Format, snapshotFormat)
	}
	return nil
}

// persist writes and syncs the output of the consensus core to the disk: new log records, or a snapshot from the
// leader.
func (s *shard) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil {
		return errs.Wrap(s.store.Append(ready.Records), "persist")
	}
	return errs.Wrap(s.install(ready.Snapshot, ready.Records), "install")
}

// install replaces the shard's state and stored data by a snapshot from the leader and the log records after it.
// The snapshot is decoded before it is stored, so that a snapshot that this release cannot read does not replace
// one that it can.
func (s *shard) install(snapshot *wire.Snapshot, records []*wire.Record) error {
	if err := checkFormat(snapshot); err != nil {
		return err
	}
	installed := newState()
	if err := installed.load(snapshot.State, s.clock.Now()); err != nil {
		return errs.WrapAs(err, errs.DiskFailure, "decode the shard state in the snapshot")
	}
	if err := s.store.SaveSnapshot(snapshot, records); err != nil {
		return err
	}
	*s.state, s.snapshotBytes = *installed, len(snapshot.State)
	s.notifyWatchers()
	return nil
}

// compact replaces the applied part of the consensus log on disk by a snapshot of the applied state.
func (s *shard) compact() error {
	body, err := s.state.save()
	if err != nil {
		return errs.Wrap(err, "encode shard state for a snapshot")
	}
	s.snapshotBytes = len(body)
	return s.store.SaveSnapshot(s.core.Compact(body))
}
