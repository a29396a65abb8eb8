package archive

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/link"
	"pebbleloom/internal/plan"
	"pebbleloom/internal/setup"
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
func (p *part) checked() string {
	if p.group != nil {
		return plan.Key
	}
	return link.SetupKey
}

// merge lays a setup, whole or partial, over the one in force, and checks the result.
func (p *part) merge(old *wire.Doc, u *wire.Put, patch bool) *merged {
	m := &merged{epoch: old.GetEpoch()}
	if p.group != nil {
		p.lay(m, old, u, patch)
		return m
	}
	if patch {
		m.body, m.err = setup.Merge(old.GetBody(), u.Body)
	} else {
		m.body, m.err = setup.Merge(nil, u.Body)
	}
	if m.err == nil {
		m.err = setup.Follows(old.GetBody(), m.body)
	}
	return m
}

// ahead merges and checks a setup on the caller's own thread, one at a time: a large one takes
// long, and the part's thread has beats to keep. Nil: there is nothing to merge. Done gives the
// turn to the next.
func (p *part) ahead(ctx context.Context, a *wire.ChangeAsk) (m *merged, done func(), ok bool) {
	u := a.Command.GetPut()
	if u.GetKey() != p.checked() {
		return nil, func() {}, true
	}
	select {
	case p.heavy <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false
	case <-p.ctx.Done():
		return nil, nil, false
	}
	done = func() { <-p.heavy }
	var old *wire.Doc
	worth := false // else propose says so at once
	if !p.ask(ctx, func() {
		old = p.st.docs[u.Key]
		worth = p.bad == nil && p.core.Stands().Owns && (u.AnyEpoch || u.IfEpoch == old.GetEpoch())
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
func (p *part) change(ctx context.Context, a *wire.ChangeAsk) *wire.ChangeTell {
	if tell := p.confirm(ctx, a); tell != nil {
		return tell
	}
	m, done, ok := p.ahead(ctx, a)
	if !ok {
		return &wire.ChangeTell{Outcome: "overloaded"} // it never began
	}
	defer done()
	var tell *wire.ChangeTell
	var w pend
	if !p.ask(ctx, func() { w, tell = p.propose(a, m) }) {
		return &wire.ChangeTell{Outcome: "cant-say"}
	}
	if tell != nil {
		return tell
	}
	select {
	case tell = <-w.tell:
		return tell
	case <-ctx.Done():
		return &wire.ChangeTell{Outcome: "cant-say"}
	case <-p.ctx.Done():
		return &wire.ChangeTell{Outcome: "cant-say"}
	}
}

// propose puts a command into the log, where this member owns the part; otherwise, or
// where it needs no log, it gives the answer at once.
func (p *part) propose(a *wire.ChangeAsk, m *merged) (pend, *wire.ChangeTell) {
	s := p.core.Stands()
	if p.bad != nil || !s.Owns {
		return pend{}, &wire.ChangeTell{Outcome: "not-owner", Owner: s.Owner}
	}
	cmd := proto.Clone(a.Command).(*wire.Command)
	if tell := p.prepare(cmd, a, m); tell != nil {
		return pend{}, tell
	}
	body, err := proto.Marshal(cmd)
	if err != nil || len(body) > setup.MaxBytes*2 {
		return pend{}, &wire.ChangeTell{Outcome: "too-big", Faults: []string{"command can't be written"}}
	}
	if len(p.pending) >= 256 {
		return pend{}, &wire.ChangeTell{Outcome: "overloaded"}
	}
	i, term, _ := p.core.Propose(body) // it owns the part, so it takes it
	w := pend{term, make(chan *wire.ChangeTell, 1)}
	p.pending[i] = w
	return w, nil
}

// prepare checks a command against the applied state, and merges and validates setups.
// Nil means: propose it.
func (p *part) prepare(cmd *wire.Command, a *wire.ChangeAsk, m *merged) *wire.ChangeTell {
	if g := cmd.GetGrant(); g != nil {
		// A new owner knows who holds a duty once it has applied what the terms before it granted.
		if !p.core.Current() {
			return &wire.ChangeTell{Outcome: "overloaded"}
		}
		// While a grant may be under way nobody else gets the duty.
		if h := p.st.leases[g.Duty]; h != nil && h.Holder != g.Holder && len(p.core.Unsettled()) > 0 {
			return &wire.ChangeTell{Outcome: "overloaded"}
		}
		if !p.st.free(g, p.clk.Now()) {
			l := p.st.leases[g.Duty]
			return &wire.ChangeTell{Outcome: "epoch-conflict", Fence: l.GetFence(), Owner: l.GetHolder()}
		}
		return nil
	}
	if c := cmd.GetClaims(); c != nil && len(c.List) > 0 && len(c.List) <= 1024 {
		c.PassedNs, c.KeepNs = uint64(p.passed(p.core.Stands().Term)), uint64(p.keep)
		return nil
	}
	u := cmd.GetPut()
	if u == nil || u.Key == "" || len(u.Key) > 256 {
		return &wire.ChangeTell{Outcome: "bad-input", Faults: []string{"no command: give a put or a grant"}}
	}
	u.Sum = sumOf(u, a.Patch)
	if t := p.st.again(u); t != nil {
		return t
	}
	old := p.st.docs[u.Key]
	if !u.AnyEpoch && u.IfEpoch != old.GetEpoch() {
		return &wire.ChangeTell{Outcome: "epoch-conflict", Epoch: old.GetEpoch()}
	}
	if u.Key == p.checked() {
		if m == nil || m.epoch != old.GetEpoch() { // nobody did ahead, or another change came between
			m = p.merge(old, u, a.Patch)
		}
		if m.err != nil {
			return &wire.ChangeTell{Outcome: errs.KindOf(m.err).Name, Epoch: old.GetEpoch(), Faults: []string{m.err.Error()}}
		}
		if u.AnyEpoch && len(p.core.Unsettled()) > 0 { // it was checked against what another change may replace
			return &wire.ChangeTell{Outcome: "overloaded"}
		}
		u.Version = m.version
		if u.Body = m.body; a.Patch && u.AnyEpoch { // it was merged onto this epoch, so it holds for this epoch alone
			u.AnyEpoch, u.IfEpoch = false, old.GetEpoch()
		}
	}
	if strings.HasPrefix(u.Key, "calendar/") {
		if err := p.entry(u); err != nil {
			return &wire.ChangeTell{Outcome: errs.KindOf(err).Name, Epoch: old.GetEpoch(), Faults: []string{err.Error()}}
		}
	}
	if strings.HasPrefix(u.Key, "retire/") {
		if err := p.retirement(u); err != nil {
			return &wire.ChangeTell{Outcome: errs.KindOf(err).Name, Epoch: old.GetEpoch(), Faults: []string{err.Error()}}
		}
	}
	if a.Dry {
		return &wire.ChangeTell{Outcome: "valid", Epoch: old.GetEpoch()}
	}
	return nil
}
