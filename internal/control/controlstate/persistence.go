package controlstate

import (
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Bytes of the log at which it is compacted, and of compacted entries that stay in memory for peers
// that lag; where the state is larger, its size counts in both.
const (
	compactLogBytes  = 1 << 20
	trailingLogBytes = 1 << 20
)

// load reads the disk, state included; an empty disk gets a first snapshot.
func (s *shard) load(disk storage.Disk, initialSnapshot func() *wire.Snapshot) (loaded storage.Recovered, err error) {
	if s.store, loaded, err = storage.Open(disk); err != nil {
		return loaded, errs.Wrap(err, "open shard")
	}
	if loaded.Snapshot == nil {
		loaded.Snapshot = initialSnapshot()
		if err := s.store.SaveSnapshot(loaded.Snapshot, nil); err != nil {
			return loaded, errs.Wrap(err, "store the first snapshot")
		}
		s.log.Info("empty disk: a new incarnation begins", "incarnation", loaded.Snapshot.HardState.Incarnation, "members", loaded.Snapshot.Members)
	}
	if loaded.TornBytes > 0 {
		s.log.Warn("torn tail cut off", "bytes", loaded.TornBytes)
	}
	if err := checkFormat(loaded.Snapshot); err != nil {
		return loaded, err
	}
	s.snapshotBytes = len(loaded.Snapshot.State)
	return loaded, errs.WrapAs(s.state.load(loaded.Snapshot.State, s.clock.Now()), errs.DiskFailure, "read the snapshot's state")
}

func checkFormat(snapshot *wire.Snapshot) error {
	if snapshot.Format != 1 {
		return errs.New(errs.DiskFailure, "snapshot of format %d: this program reads format 1: start the newer program", snapshot.Format)
	}
	return nil
}

func (s *shard) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil {
		return errs.Wrap(s.store.Append(ready.Records), "persist")
	}
	return errs.Wrap(s.install(ready.Snapshot, ready.Records), "install")
}

// install replaces state and disk by a leader's snapshot. The snapshot is read before it is stored:
// one that this program can't read must not take the place of one that it can.
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

// compact stores a snapshot of the state in place of the log up to it.
func (s *shard) compact() error {
	body, err := s.state.save()
	if err != nil {
		return errs.Wrap(err, "save state")
	}
	s.snapshotBytes = len(body)
	return s.store.SaveSnapshot(s.core.Compact(body))
}
