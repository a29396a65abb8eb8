package controlstate

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// changeCommand is a change as a leader proposes it.
func changeCommand(key, content, token string, base, version uint64) *wire.Command {
	put := &wire.Put{Key: key, Body: []byte(content), IfVersion: base, Token: token}
	put.Digest, put.ContentDigest = requestDigest(put, false), contentDigest(put, false)
	put.NewVersion = version
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// planChange is the n-th change of the plan, the first is 1: it makes version 2n on version 2n-2.
func planChange(n int) *wire.Command {
	return changeCommand(routingconfig.DocumentKey, fmt.Sprint("plan ", n), fmt.Sprintf("%032x", n), uint64(2*n-2), uint64(2*n))
}

// stateAfter is a state in which that many changes of the plan were taken.
func stateAfter(t *testing.T, changes int) *state {
	t.Helper()
	s := newState()
	for n := 1; n <= changes; n++ {
		if r := s.apply(planChange(n), 0); r.Outcome != wire.OutcomeDone || r.Version != uint64(2*n) {
			t.Fatalf("change %d: %v", n, r)
		}
	}
	return s
}

func reloaded(t *testing.T, s *state) *state {
	t.Helper()
	saved, err := s.save()
	if err != nil {
		t.Fatal(err)
	}
	again := newState()
	if err := again.load(saved, 0); err != nil {
		t.Fatal(err)
	}
	return again
}

// A change sent again after a day's changes, or after hundreds to other documents, was taken and is
// acknowledged again, also by a member that got the state by a snapshot.
func TestAnOrderSentAgainLateIsDone(t *testing.T) {
	s := stateAfter(t, configChangesPerDay)
	for i := range 2 * maxRecentTokens {
		s.apply(changeCommand("other", "x", fmt.Sprint("o", i), uint64(i), 0), 0)
	}
	for name, s := range map[string]*state{"by the log": s, "by a snapshot": reloaded(t, s)} {
		for n := 1; n <= configChangesPerDay; n++ {
			if r := s.apply(planChange(n), 0); r.Outcome != wire.OutcomeDone || r.Version != uint64(2*n) {
				t.Fatalf("%s: change %d sent again: %v", name, n, r)
			}
		}
		if v := s.documents[routingconfig.DocumentKey].Version; v != 2*configChangesPerDay {
			t.Errorf("%s: version %d is in force", name, v)
		}
	}
}

// Past the bound a change may have been taken or not: it is left without a clear answer. One on a base
// that is remembered and wasn't taken is a conflict.
func TestAForgottenOrderHasNoClearAnswer(t *testing.T) {
	const past = 50
	s := stateAfter(t, maxConfigRecords+past)
	for name, s := range map[string]*state{"by the log": s, "by a snapshot": reloaded(t, s)} {
		for n := 1; n <= maxConfigRecords+past; n++ {
			want, fresh := wire.OutcomeDone, wire.OutcomeConflict
			if n <= past {
				want, fresh = wire.OutcomeUnknown, wire.OutcomeUnknown
			}
			if r := s.apply(planChange(n), 0); r.Outcome != want {
				t.Fatalf("%s: change %d sent again: %v, want %s", name, n, r, want)
			}
			rival := changeCommand(routingconfig.DocumentKey, "another", fmt.Sprint("rival ", n), uint64(2*n-2), uint64(2*n))
			if r := s.apply(rival, 0); r.Outcome != fresh {
				t.Fatalf("%s: another change on the base of %d: %v, want %s", name, n, r, fresh)
			}
		}
	}
}

// All members forget the same, whenever each of them read a snapshot.
func TestMembersForgetTheSame(t *testing.T) {
	s := stateAfter(t, maxConfigRecords-20)
	other := reloaded(t, s)
	for n := maxConfigRecords - 19; n <= maxConfigRecords+40; n++ {
		s.apply(planChange(n), 0)
		other.apply(planChange(n), 0)
		if n%7 == 0 {
			other = reloaded(t, other)
		}
	}
	a, errA := s.save()
	b, errB := other.save()
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Errorf("states differ: %d and %d bytes, %v, %v", len(a), len(b), errA, errB)
	}
}

// What the record costs, at a day's changes of the target size and at its bound.
func TestWhatTheRecordCosts(t *testing.T) {
	size := func(changes int) int {
		s := stateAfter(t, changes)
		s.recentTokens = nil // what earlier releases go by has a bound of its own
		saved, err := s.save()
		if err != nil {
			t.Fatal(err)
		}
		return len(saved)
	}
	day, full := size(configChangesPerDay)-size(1), size(2*maxConfigRecords)-size(1)
	perChange := float64(day) / (configChangesPerDay - 1)
	s := stateAfter(t, configChangesPerDay)
	saved, err := s.save()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("a remembered change: %.1f bytes; %d changes: %d bytes; at the bound of %d: %d bytes; the whole state after %d changes: %d bytes",
		perChange, configChangesPerDay, day, maxConfigRecords, full, configChangesPerDay, len(saved))
	if perChange > 40 || full > 150<<10 {
		t.Errorf("%.1f bytes a change, %d bytes at the bound", perChange, full)
	}
}

// earlierRelease applies changes as the releases before the record by document did.
type earlierRelease struct {
	docs   map[string]*wire.Document
	tokens []*wire.ChangeToken
}

func (e *earlierRelease) put(put *wire.Put) {
	for _, t := range e.tokens {
		if put.Token != "" && t.Token == put.Token {
			return
		}
	}
	d := e.docs[put.Key]
	if !put.AnyVersion && put.IfVersion != d.GetVersion() || put.NewVersion > 0 && put.NewVersion <= d.GetVersion() {
		return
	}
	d = &wire.Document{Key: put.Key, Body: put.Body, Version: max(put.NewVersion, d.GetVersion()+1)}
	e.docs[put.Key] = d
	if put.Token != "" {
		e.tokens = append(e.tokens, &wire.ChangeToken{Token: put.Token, Key: put.Key, Version: d.Version, Digest: put.Digest})
		if len(e.tokens) > 256 {
			e.tokens = e.tokens[1:]
		}
	}
}

// Members of an earlier release and of this one make the same documents of the same log, whatever
// leaders of either put into it; and what an earlier release reads of a snapshot is what it would hold.
func TestAnEarlierReleaseMakesTheSameState(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 17))
		s, earlier := newState(), &earlierRelease{docs: map[string]*wire.Document{}}
		var sent []*wire.Command
		for i := range 1500 {
			key := []string{routingconfig.DocumentKey, controlclient.ConfigKey, "other"}[r.IntN(3)]
			c := changeCommand(key, fmt.Sprint(r.IntN(3)), fmt.Sprint("t", i), s.documents[key].GetVersion(), 0)
			switch r.IntN(6) {
			case 0:
				c.GetPut().IfVersion -= min(c.GetPut().IfVersion, uint64(r.IntN(3)))
			case 1:
				c.GetPut().AnyVersion = true
			case 2:
				c.GetPut().Token = fmt.Sprint("t", r.IntN(i+1)) // of another change, perhaps forgotten
			}
			if r.IntN(2) == 0 {
				c.GetPut().ContentDigest = nil // an earlier release proposed it
			}
			if sent = append(sent, c); r.IntN(3) == 0 {
				c = sent[r.IntN(len(sent))]
			}
			if s.apply(proto.Clone(c).(*wire.Command), 0); r.IntN(100) == 0 {
				s = reloaded(t, s)
			}
			earlier.put(c.GetPut())
		}
		same := slices.EqualFunc(s.recentTokens, earlier.tokens, func(a, b *wire.ChangeToken) bool { return proto.Equal(a, b) })
		for key, d := range earlier.docs {
			same = same && proto.Equal(d, s.documents[key])
		}
		if !same || len(s.documents) != len(earlier.docs) {
			t.Fatalf("seed %d: the documents or the newest tokens differ", seed)
		}
	}
}

// A snapshot of an earlier release holds the newest changes alone. What it may have forgotten has no
// clear answer; where it can't have forgotten any, an unknown change is a conflict.
func TestASnapshotOfAnEarlierReleaseIsRead(t *testing.T) {
	for _, x := range []struct {
		changes int
		first   wire.Outcome // what becomes of the first change, sent again
		fresh   wire.Outcome // and of another one on its base
	}{{maxRecentTokens - 1, wire.OutcomeDone, wire.OutcomeConflict}, {maxRecentTokens + 44, wire.OutcomeUnknown, wire.OutcomeUnknown}} {
		s := newState()
		for n := 1; n <= x.changes; n++ {
			c := planChange(n)
			c.GetPut().ContentDigest = nil
			s.apply(c, 0)
		}
		s.idempotency = nil // as an earlier release writes it
		s = reloaded(t, s)
		if r := s.apply(planChange(1), 0); r.Outcome != x.first {
			t.Errorf("%d changes: the first sent again: %v, want %s", x.changes, r, x.first)
		}
		if r := s.apply(changeCommand(routingconfig.DocumentKey, "another", "rival", 0, 2), 0); r.Outcome != x.fresh {
			t.Errorf("%d changes: another on the first base: %v, want %s", x.changes, r, x.fresh)
		}
		if r := s.apply(planChange(x.changes), 0); r.Outcome != wire.OutcomeDone || r.Version != uint64(2*x.changes) {
			t.Errorf("%d changes: the last sent again: %v", x.changes, r)
		}
		if r := s.apply(planChange(x.changes+1), 0); r.Outcome != wire.OutcomeDone {
			t.Errorf("%d changes: the next: %v", x.changes, r)
		}
	}
}

// The same change under its token is done again on whatever version it is sent; another one under that
// token is refused, on this document or on any other.
func TestATokenIsOneChange(t *testing.T) {
	s := newState()
	s.apply(changeCommand("k", "step", "token", 0, 0), 0)
	s.apply(changeCommand("k", "later", "", 1, 0), 0)
	for _, x := range []struct {
		name    string
		command *wire.Command
		want    wire.Outcome
	}{
		{"on its own base", changeCommand("k", "step", "token", 0, 0), wire.OutcomeDone},
		{"on the version in force", changeCommand("k", "step", "token", 2, 0), wire.OutcomeDone},
		{"another content", changeCommand("k", "another", "token", 2, 0), wire.OutcomeBadInput},
		{"another document", changeCommand("l", "step", "token", 0, 0), wire.OutcomeBadInput},
		{"another token", changeCommand("k", "step", "token 2", 0, 0), wire.OutcomeConflict},
	} {
		if r := s.apply(x.command, 0); r.Outcome != x.want {
			t.Errorf("%s: %v, want %s", x.name, r, x.want)
		}
	}
	if v := s.documents["k"].Version; v != 2 {
		t.Errorf("version %d is in force", v)
	}
}
