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

// planChange is the n-th change of the routing configuration, from 1 on: it makes version 2n on version
// 2n-2.
func planChange(n int) *wire.Command {
	return changeCommand(routingconfig.DocumentKey, fmt.Sprint("plan ", n), fmt.Sprintf("%032x", n), uint64(2*n-2), uint64(2*n))
}

// stateAfter is a state to which that many changes of the routing configuration were applied.
func stateAfter(t *testing.T, changes int) *state {
	t.Helper()
	s := newState()
	for n := 1; n <= changes; n++ {
		if response := s.apply(planChange(n), 0); response.Outcome != wire.OutcomeDone || response.Version != uint64(2*n) {
			t.Fatalf("change %d: %v", n, response)
		}
	}
	return s
}

// reloaded is the state that a member has that installs a snapshot of s.
func reloaded(t *testing.T, s *state) *state {
	t.Helper()
	saved, err := s.save()
	if err != nil {
		t.Fatal(err)
	}
	restored := newState()
	if err := restored.load(saved, 0); err != nil {
		t.Fatal(err)
	}
	return restored
}

// A change that is retried after a day's changes, or after hundreds of changes of other documents, is
// acknowledged again, also by a member that got the state by a snapshot.
func TestLateRetryIsAcknowledged(t *testing.T) {
	s := stateAfter(t, configChangesPerDay)
	for i := range 2 * maxRecentTokens {
		s.apply(changeCommand("other", "x", fmt.Sprint("o", i), uint64(i), 0), 0)
	}
	for name, s := range map[string]*state{"by the log": s, "by a snapshot": reloaded(t, s)} {
		for n := 1; n <= configChangesPerDay; n++ {
			if response := s.apply(planChange(n), 0); response.Outcome != wire.OutcomeDone || response.Version != uint64(2*n) {
				t.Fatalf("%s: change %d retried: %v", name, n, response)
			}
		}
		if version := s.documents[routingconfig.DocumentKey].Version; version != 2*configChangesPerDay {
			t.Errorf("%s: version %d is in force", name, version)
		}
	}
}

// A change older than the records may have been applied or not: its outcome is unknown. One on a base that
// is recorded, and that wasn't applied, is a conflict.
func TestForgottenChangeHasUnknownOutcome(t *testing.T) {
	const past = 50
	s := stateAfter(t, maxConfigRecords+past)
	for name, s := range map[string]*state{"by the log": s, "by a snapshot": reloaded(t, s)} {
		for n := 1; n <= maxConfigRecords+past; n++ {
			want, fresh := wire.OutcomeDone, wire.OutcomeConflict
			if n <= past {
				want, fresh = wire.OutcomeUnknown, wire.OutcomeUnknown
			}
			if response := s.apply(planChange(n), 0); response.Outcome != want {
				t.Fatalf("%s: change %d retried: %v, want %s", name, n, response, want)
			}
			rival := changeCommand(routingconfig.DocumentKey, "another", fmt.Sprint("rival ", n), uint64(2*n-2), uint64(2*n))
			if response := s.apply(rival, 0); response.Outcome != fresh {
				t.Fatalf("%s: another change on the base of %d: %v, want %s", name, n, response, fresh)
			}
		}
	}
}

// All members forget the same changes, whenever each of them has installed a snapshot.
func TestMembersForgetTheSameChanges(t *testing.T) {
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

// The bytes of the records in a snapshot: for each change, after a day's changes, and at the bound.
func TestIdempotencyRecordSize(t *testing.T) {
	size := func(changes int) int {
		s := stateAfter(t, changes)
		s.recentTokens = nil // the records of earlier releases have a bound of their own
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
	t.Logf("a recorded change: %.1f bytes; %d changes: %d bytes; at the bound of %d: %d bytes; the complete state after %d changes: %d bytes",
		perChange, configChangesPerDay, day, maxConfigRecords, full, configChangesPerDay, len(saved))
	if perChange > 40 || full > 150<<10 {
		t.Errorf("%.1f bytes a change, %d bytes at the bound", perChange, full)
	}
}

// earlierRelease applies changes as the releases did that had no records by document.
type earlierRelease struct {
	docs   map[string]*wire.Document
	tokens []*wire.ChangeToken
}

func (e *earlierRelease) put(put *wire.Put) {
	for _, token := range e.tokens {
		if put.Token != "" && token.Token == put.Token {
			return
		}
	}
	document := e.docs[put.Key]
	if !put.AnyVersion && put.IfVersion != document.GetVersion() || put.NewVersion > 0 && put.NewVersion <= document.GetVersion() {
		return
	}
	document = &wire.Document{Key: put.Key, Body: put.Body, Version: max(put.NewVersion, document.GetVersion()+1)}
	e.docs[put.Key] = document
	if put.Token != "" {
		e.tokens = append(e.tokens, &wire.ChangeToken{Token: put.Token, Key: put.Key, Version: document.Version, Digest: put.Digest})
		if len(e.tokens) > 256 {
			e.tokens = e.tokens[1:]
		}
	}
}

// Members of an earlier release and of this one have the same documents after the same log, whichever
// release's leader proposed an entry; and what an earlier release reads of a snapshot is what it would hold.
func TestEarlierReleaseAppliesTheSameState(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 17))
		state, earlier := newState(), &earlierRelease{docs: map[string]*wire.Document{}}
		var sent []*wire.Command
		for i := range 1500 {
			key := []string{routingconfig.DocumentKey, controlclient.ConfigKey, "other"}[random.IntN(3)]
			command := changeCommand(key, fmt.Sprint(random.IntN(3)), fmt.Sprint("t", i), state.documents[key].GetVersion(), 0)
			switch random.IntN(6) {
			case 0:
				command.GetPut().IfVersion -= min(command.GetPut().IfVersion, uint64(random.IntN(3)))
			case 1:
				command.GetPut().AnyVersion = true
			case 2:
				command.GetPut().Token = fmt.Sprint("t", random.IntN(i+1)) // of another change, which may be forgotten
			}
			if random.IntN(2) == 0 {
				command.GetPut().ContentDigest = nil // an earlier release proposed it
			}
			if sent = append(sent, command); random.IntN(3) == 0 {
				command = sent[random.IntN(len(sent))]
			}
			if state.apply(proto.Clone(command).(*wire.Command), 0); random.IntN(100) == 0 {
				state = reloaded(t, state)
			}
			earlier.put(command.GetPut())
		}
		same := slices.EqualFunc(state.recentTokens, earlier.tokens, func(a, b *wire.ChangeToken) bool { return proto.Equal(a, b) })
		for key, document := range earlier.docs {
			same = same && proto.Equal(document, state.documents[key])
		}
		if !same || len(state.documents) != len(earlier.docs) {
			t.Fatalf("seed %d: the documents or the newest tokens differ", seed)
		}
	}
}

// A snapshot of an earlier release has records of the newest changes alone. A change that it may have
// forgotten has an unknown outcome; where it can't have forgotten any, an unknown change is a conflict.
func TestSnapshotOfEarlierReleaseIsReadable(t *testing.T) {
	for _, test := range []struct {
		changes int
		first   wire.Outcome // of the first change, retried
		fresh   wire.Outcome // of another change on its base
	}{{maxRecentTokens - 1, wire.OutcomeDone, wire.OutcomeConflict}, {maxRecentTokens + 44, wire.OutcomeUnknown, wire.OutcomeUnknown}} {
		state := newState()
		for n := 1; n <= test.changes; n++ {
			command := planChange(n)
			command.GetPut().ContentDigest = nil
			state.apply(command, 0)
		}
		state.idempotency = nil // as an earlier release writes it
		state = reloaded(t, state)
		if response := state.apply(planChange(1), 0); response.Outcome != test.first {
			t.Errorf("%d changes: the first retried: %v, want %s", test.changes, response, test.first)
		}
		if response := state.apply(changeCommand(routingconfig.DocumentKey, "another", "rival", 0, 2), 0); response.Outcome != test.fresh {
			t.Errorf("%d changes: another on the first base: %v, want %s", test.changes, response, test.fresh)
		}
		if response := state.apply(planChange(test.changes), 0); response.Outcome != wire.OutcomeDone || response.Version != uint64(2*test.changes) {
			t.Errorf("%d changes: the last retried: %v", test.changes, response)
		}
		if response := state.apply(planChange(test.changes+1), 0); response.Outcome != wire.OutcomeDone {
			t.Errorf("%d changes: the next: %v", test.changes, response)
		}
	}
}

// The same change under its token is acknowledged again, whatever version it builds on; another one under
// that token is rejected, of this document or of any other.
func TestTokenIdentifiesOneChange(t *testing.T) {
	state := newState()
	state.apply(changeCommand("k", "step", "token", 0, 0), 0)
	state.apply(changeCommand("k", "later", "", 1, 0), 0)
	for _, test := range []struct {
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
		if response := state.apply(test.command, 0); response.Outcome != test.want {
			t.Errorf("%s: %v, want %s", test.name, response, test.want)
		}
	}
	if version := state.documents["k"].Version; version != 2 {
		t.Errorf("version %d is in force", version)
	}
}
