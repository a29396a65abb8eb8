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
func (p *shard) load(d storage.Disk, first func() *wire.Snapshot) (l storage.Recovered, err error) {
	if p.store, l, err = storage.Open(d); err != nil {
		return l, errs.Wrap(err, "open shard")
	}
	if l.Snapshot == nil {
		l.Snapshot = first()
		if err := p.store.SaveSnapshot(l.Snapshot, nil); err != nil {
			return l, errs.Wrap(err, "store the first snapshot")
		}
		p.log.Info("empty disk: a new incarnation begins", "incarnation", l.Snapshot.HardState.Incarnation, "members", l.Snapshot.Members)
	}
	if l.TornBytes > 0 {
		p.log.Warn("torn tail cut off", "bytes", l.TornBytes)
	}
	if err := checkFormat(l.Snapshot); err != nil {
		return l, err
	}
	p.snapshotBytes = len(l.Snapshot.State)
	return l, errs.WrapAs(p.state.load(l.Snapshot.State, p.clock.Now()), errs.DiskFailure, "read the snapshot's state")
}

func checkFormat(s *wire.Snapshot) error {
	if s.Format != 1 {
		return errs.New(errs.DiskFailure, "snapshot of format %d: this program reads format 1: start the newer program", s.Format)
	}
	return nil
}

func (p *shard) persist(o consensus.Ready) error {
	if o.Snapshot == nil {
		return errs.Wrap(p.store.Append(o.Records), "persist")
	}
	return errs.Wrap(p.install(o.Snapshot, o.Records), "install")
}

// install replaces state and disk by a leader's snapshot. The snapshot is read before it is stored:
// one that this program can't read must not take the place of one that it can.
func (p *shard) install(s *wire.Snapshot, rest []*wire.Record) error {
	if err := checkFormat(s); err != nil {
		return err
	}
	installed := newState()
	if err := installed.load(s.State, p.clock.Now()); err != nil {
		return errs.WrapAs(err, errs.DiskFailure, "read the snapshot's state")
	}
	if err := p.store.SaveSnapshot(s, rest); err != nil {
		return err
	}
	*p.state, p.snapshotBytes = *installed, len(s.State)
	p.notifyWatchers()
	return nil
}

// compact stores a snapshot of the state in place of the log up to it.
func (p *shard) compact() error {
	body, err := p.state.save()
	if err != nil {
		return errs.Wrap(err, "save state")
	}
	p.snapshotBytes = len(body)
	return p.store.SaveSnapshot(p.core.Compact(body))
}
