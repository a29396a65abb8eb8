package controlstate

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// merged is a setup that was merged and checked ahead, onto an epoch.
type merged struct {
	epoch   uint64
	body    []byte
	version uint64 // what the document's epoch becomes; 0: the next one
	err     error
}

// checked is the document that is merged and checked before it is proposed.
func (p *shard) validatedKey() string {
	if p.group != nil {
		return routingconfig.Key
	}
	return controlclient.SetupKey
}

// merge lays a setup, whole or partial, over the one in force, and checks the result.
func (p *shard) merge(old *wire.Document, u *wire.Put, patch bool) *merged {
	m := &merged{epoch: old.GetVersion()}
	if p.group != nil {
		p.mergePlan(m, old, u, patch)
		return m
	}
	if patch {
		m.body, m.err = serviceconfig.Merge(old.GetBody(), u.Body)
	} else {
		m.body, m.err = serviceconfig.Merge(nil, u.Body)
	}
	if m.err == nil {
		m.err = serviceconfig.CheckSuccessor(old.GetBody(), m.body)
	}
	return m
}

// ahead merges and checks a setup on the caller's own thread, one at a time: a large one takes
// long, and the part's thread has beats to keep. Nil: there is nothing to merge. Done gives the
// turn to the next.
func (p *shard) mergeAhead(ctx context.Context, a *wire.ChangeRequest) (m *merged, done func(), ok bool) {
	u := a.Command.GetPut()
	if u.GetKey() != p.validatedKey() {
		return nil, func() {}, true
	}
	select {
	case p.mergeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false
	case <-p.ctx.Done():
		return nil, nil, false
	}
	done = func() { <-p.mergeLock }
	var old *wire.Document
	worth := false // else propose says so at once
	if !p.do(ctx, func() {
		old = p.state.docs[u.Key]
		worth = p.failure == nil && p.core.Status().IsLeader && (u.AnyVersion || u.IfVersion == old.GetVersion())
	}) {
		done()
		return nil, nil, false
	}
	if worth {
		m = p.merge(old, u, a.Patch)
	}
	return m, done, true
}

// change proposes a command where this member owns the part, and waits for its outcome.
func (p *shard) change(ctx context.Context, a *wire.ChangeRequest) *wire.ChangeResponse {
	if tell := p.confirmLeadership(ctx, a); tell != nil {
		return tell
	}
	m, done, ok := p.mergeAhead(ctx, a)
	if !ok {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // it never began
	}
	defer done()
	var tell *wire.ChangeResponse
	var w pendingChange
	if !p.do(ctx, func() { w, tell = p.propose(a, m) }) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
	}
	if tell != nil {
		return tell
	}
	select {
	case tell = <-w.answer:
		return tell
	case <-ctx.Done():
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
	case <-p.ctx.Done():
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
	}
}

// propose puts a command into the log, where this member owns the part; otherwise, or
// where it needs no log, it gives the answer at once.
func (p *shard) propose(a *wire.ChangeRequest, m *merged) (pendingChange, *wire.ChangeResponse) {
	s := p.core.Status()
	if p.failure != nil || !s.IsLeader {
		return pendingChange{}, &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: s.Leader}
	}
	cmd := proto.Clone(a.Command).(*wire.Command)
	if tell := p.prepare(cmd, a, m); tell != nil {
		return pendingChange{}, tell
	}
	body, err := proto.Marshal(cmd)
	if err != nil || len(body) > serviceconfig.MaxBytes*2 {
		return pendingChange{}, &wire.ChangeResponse{Outcome: wire.OutcomeTooBig, Errors: []string{"command can't be written"}}
	}
	if len(p.pending) >= 256 {
		return pendingChange{}, &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	i, term, _ := p.core.Propose(body) // it owns the part, so it takes it
	w := pendingChange{term, make(chan *wire.ChangeResponse, 1)}
	p.pending[i] = w
	return w, nil
}

// prepare checks a command against the applied state, and merges and validates setups.
// Nil means: propose it.
func (p *shard) prepare(cmd *wire.Command, a *wire.ChangeRequest, m *merged) *wire.ChangeResponse {
	if g := cmd.GetGrant(); g != nil {
		// A new owner knows who holds a duty once it has applied what the terms before it granted.
		if !p.core.AppliedOwnTerm() {
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
		}
		// While a grant may be under way nobody else gets the duty.
		if h := p.state.leases[g.Lease]; h != nil && h.Holder != g.Holder && len(p.core.Unapplied()) > 0 {
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
		}
		if !p.state.free(g, p.clock.Now()) {
			l := p.state.leases[g.Lease]
			return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.GetFence(), Leader: l.GetHolder()}
		}
		return nil
	}
	if c := cmd.GetClaims(); c != nil && len(c.List) > 0 && len(c.List) <= 1024 {
		c.PassedNs, c.KeepNs = uint64(p.passed(p.core.Status().Term)), uint64(p.keepIDs)
		return nil
	}
	u := cmd.GetPut()
	if u == nil || u.Key == "" || len(u.Key) > 256 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"no command: give a put or a grant"}}
	}
	u.Digest = digestOf(u, a.Patch)
	if t := p.state.repeated(u); t != nil {
		return t
	}
	old := p.state.docs[u.Key]
	if !u.AnyVersion && u.IfVersion != old.GetVersion() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: old.GetVersion()}
	}
	if u.Key == p.validatedKey() {
		if m == nil || m.epoch != old.GetVersion() { // nobody did ahead, or another change came between
			m = p.merge(old, u, a.Patch)
		}
		if m.err != nil {
			return &wire.ChangeResponse{Outcome: errs.KindOf(m.err).Name, Version: old.GetVersion(), Errors: []string{m.err.Error()}}
		}
		if u.AnyVersion && len(p.core.Unapplied()) > 0 { // it was checked against what another change may replace
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
		}
		u.NewVersion = m.version
		if u.Body = m.body; a.Patch && u.AnyVersion { // it was merged onto this epoch, so it holds for this epoch alone
			u.AnyVersion, u.IfVersion = false, old.GetVersion()
		}
	}
	if strings.HasPrefix(u.Key, "calendar/") {
		if err := p.validateCalendarEntry(u); err != nil {
			return &wire.ChangeResponse{Outcome: errs.KindOf(err).Name, Version: old.GetVersion(), Errors: []string{err.Error()}}
		}
	}
	if strings.HasPrefix(u.Key, "retire/") {
		if err := p.validateRetirement(u); err != nil {
			return &wire.ChangeResponse{Outcome: errs.KindOf(err).Name, Version: old.GetVersion(), Errors: []string{err.Error()}}
		}
	}
	if a.DryRun {
		return &wire.ChangeResponse{Outcome: wire.OutcomeValid, Version: old.GetVersion()}
	}
	return nil
}
