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

// changeCommand returns a change of a document with digests and a new version, as a leader proposes it.
func changeCommand(key, content, token string, base, version uint64) *wire.Command {
	put := &wire.Put{Key: key, Body: []byte(content), IfVersion: base, Token: token}
	put.Digest, put.ContentDigest = requestDigest(put, false), contentDigest(put, false)
	put.NewVersion = version
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// planChange returns the n-th change of the routing configuration, counted from 1. It is based on version 2n-2 and
// produces version 2n.
func planChange(n int) *wire.Command {
	return changeCommand(routingconfig.DocumentKey, fmt.Sprint("plan ", n), fmt.Sprintf("%032x", n), uint64(2*n-2), uint64(2*n))
}

// stateAfter returns a state to which the given number of changes of the routing configuration has been applied.
func stateAfter(t *testing.T, changes int) *state {
	t.Helper()
	s := newState()
	for n := 1; n <= changes; n++ {
		if response := s.apply(planChange(n), 0); response.Outcome != wire.OutcomeDone || response.Version != uint64(2*n) {
			t.Fatalf("change %d of the routing configuration: got %v, want outcome %s at version %d", n, response, wire.OutcomeDone, 2*n)
		}
	}
	return s
}

// reloaded saves a state to a snapshot and returns the state that a member loads from it.
func reloaded(t *testing.T, s *state) *state {
	t.Helper()
	saved, err := s.save()
	if err != nil {
		t.Fatalf("encoding the state for a snapshot: %v", err)
	}
	restored := newState()
	if err := restored.load(saved, 0); err != nil {
		t.Fatalf("loading the state from a snapshot: %v", err)
	}
	return restored
}

// A retry of a change is acknowledged again even after a day's worth of later changes of its document and hundreds of
// changes of other documents. That holds as well for a member that received its state as a snapshot.
func TestLateRetryIsAcknowledged(t *testing.T) {
	s := stateAfter(t, configChangesPerDay)
	for i := range 2 * maxRecentTokens {
		s.apply(changeCommand("other", "x", fmt.Sprint("o", i), uint64(i), 0), 0)
	}
	for name, s := range map[string]*state{"state from the log": s, "state from a snapshot": reloaded(t, s)} {
		for n := 1; n <= configChangesPerDay; n++ {
			if response := s.apply(planChange(n), 0); response.Outcome != wire.OutcomeDone || response.Version != uint64(2*n) {
				t.Fatalf("%s: retry of change %d: got %v, want outcome %s at version %d", name, n, response, wire.OutcomeDone, 2*n)
			}
		}
		if version := s.documents[routingconfig.DocumentKey].Version; version != 2*configChangesPerDay {
			t.Errorf("%s: routing configuration has version %d after the retries, want %d", name, version, 2*configChangesPerDay)
		}
	}
}

// A retry of a change whose record may have been evicted gets an unknown outcome, since the change may or may not have
// been applied. A new change that is based on an old version is a conflict if all changes since that version are still
// on record, and gets an unknown outcome otherwise.
func TestForgottenChangeHasUnknownOutcome(t *testing.T) {
	const evicted = 50 // number of changes whose idempotency records have been evicted
	s := stateAfter(t, maxConfigRecords+evicted)
	for name, s := range map[string]*state{"state from the log": s, "state from a snapshot": reloaded(t, s)} {
		for n := 1; n <= maxConfigRecords+evicted; n++ {
			want, wantForRival := wire.OutcomeDone, wire.OutcomeConflict
			if n <= evicted {
				want, wantForRival = wire.OutcomeUnknown, wire.OutcomeUnknown
			}
			if response := s.apply(planChange(n), 0); response.Outcome != want {
				t.Fatalf("%s: retry of change %d: got %v, want outcome %s", name, n, response, want)
			}
			rival := changeCommand(routingconfig.DocumentKey, "another", fmt.Sprint("rival ", n), uint64(2*n-2), uint64(2*n))
			if response := s.apply(rival, 0); response.Outcome != wantForRival {
				t.Fatalf("%s: new change with the base version of change %d: got %v, want outcome %s", name, n, response, wantForRival)
			}
		}
	}
}

// All members evict the same idempotency records, regardless of when each of them installed a snapshot.
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
		t.Errorf("saved states of two members with the same log differ: %d and %d bytes, errors %v and %v", len(a), len(b), errA, errB)
	}
}

// Limits the size of the idempotency records in a snapshot: per change, and for a document with the maximum number of
// records.
func TestIdempotencyRecordSize(t *testing.T) {
	size := func(changes int) int {
		s := stateAfter(t, changes)
		s.recentTokens = nil // the recent tokens, which earlier releases use, have a limit of their own
		saved, err := s.save()
		if err != nil {
			t.Fatalf("encoding the state after %d changes: %v", changes, err)
		}
		return len(saved)
	}
	day, full := size(configChangesPerDay)-size(1), size(2*maxConfigRecords)-size(1)
	perChange := float64(day) / (configChangesPerDay - 1)
	s := stateAfter(t, configChangesPerDay)
	saved, err := s.save()
	if err != nil {
		t.Fatalf("encoding the state after %d changes: %v", configChangesPerDay, err)
	}
	t.Logf("size of one idempotency record: %.1f bytes; of the records of %d changes: %d bytes; at the limit of %d records: %d bytes; complete state after %d changes: %d bytes",
		perChange, configChangesPerDay, day, maxConfigRecords, full, configChangesPerDay, len(saved))
	if perChange > 40 || full > 150<<10 {
		t.Errorf("idempotency records take %.1f bytes per change and %d bytes at the limit, want at most 40 and %d", perChange, full, 150<<10)
	}
}

// earlierRelease applies changes like the releases that kept only the recent tokens and no idempotency records by document.
type earlierRelease struct {
	docs   map[string]*wire.Document
	tokens []*wire.ChangeToken
}

// put applies a change to the documents and the recent tokens.
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

// Members of an earlier release and of this release hold the same documents and recent tokens after the same log,
// regardless of which release proposed each entry and of when a member of this release installed a snapshot.
func TestEarlierReleaseAppliesTheSameState(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 17))
		state, earlier := newState(), &earlierRelease{docs: map[string]*wire.Document{}}
		var proposed []*wire.Command
		for i := range 1500 {
			key := []string{routingconfig.DocumentKey, controlclient.ConfigKey, "other"}[random.IntN(3)]
			command := changeCommand(key, fmt.Sprint(random.IntN(3)), fmt.Sprint("t", i), state.documents[key].GetVersion(), 0)
			switch random.IntN(6) {
			case 0:
				command.GetPut().IfVersion -= min(command.GetPut().IfVersion, uint64(random.IntN(3)))
			case 1:
				command.GetPut().AnyVersion = true
			case 2:
				command.GetPut().Token = fmt.Sprint("t", random.IntN(i+1)) // token of an earlier change, which may have been evicted
			}
			if random.IntN(2) == 0 {
				command.GetPut().ContentDigest = nil // changes that an earlier release proposes have no content digest
			}
			if proposed = append(proposed, command); random.IntN(3) == 0 {
				command = proposed[random.IntN(len(proposed))]
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
			t.Fatalf("seed %d: documents or recent tokens differ between this release (%d documents) and an earlier one (%d documents)", seed, len(state.documents), len(earlier.docs))
		}
	}
}

// A snapshot of an earlier release contains only the recent tokens. After it is loaded, a change whose token may have been
// evicted gets an unknown outcome. If no token can have been evicted, a change that is not on record is a conflict.
func TestSnapshotOfEarlierReleaseIsReadable(t *testing.T) {
	for _, test := range []struct {
		changes int
		first   wire.Outcome // wanted outcome of a retry of the first change
		rival   wire.Outcome // wanted outcome of a different change with the base version of the first change
	}{{maxRecentTokens - 1, wire.OutcomeDone, wire.OutcomeConflict}, {maxRecentTokens + 44, wire.OutcomeUnknown, wire.OutcomeUnknown}} {
		state := newState()
		for n := 1; n <= test.changes; n++ {
			command := planChange(n)
			command.GetPut().ContentDigest = nil
			state.apply(command, 0)
		}
		state.idempotency = nil // earlier releases write no idempotency records by document
		state = reloaded(t, state)
		if response := state.apply(planChange(1), 0); response.Outcome != test.first {
			t.Errorf("after %d changes, retry of the first: got %v, want outcome %s", test.changes, response, test.first)
		}
		if response := state.apply(changeCommand(routingconfig.DocumentKey, "another", "rival", 0, 2), 0); response.Outcome != test.rival {
			t.Errorf("after %d changes, different change with the base version of the first: got %v, want outcome %s", test.changes, response, test.rival)
		}
		if response := state.apply(planChange(test.changes), 0); response.Outcome != wire.OutcomeDone || response.Version != uint64(2*test.changes) {
			t.Errorf("after %d changes, retry of the last: got %v, want outcome %s at version %d", test.changes, response, wire.OutcomeDone, 2*test.changes)
		}
		if response := state.apply(planChange(test.changes+1), 0); response.Outcome != wire.OutcomeDone {
			t.Errorf("after %d changes, the next change: got %v, want outcome %s", test.changes, response, wire.OutcomeDone)
		}
	}
}

// A retry of a change under the same token is acknowledged again, regardless of its base version. A different change under
// that token is rejected, whether it is for the same document or for another one.
func TestTokenIdentifiesOneChange(t *testing.T) {
	state := newState()
	state.apply(changeCommand("k", "step", "token", 0, 0), 0)
	state.apply(changeCommand("k", "later", "", 1, 0), 0)
	for _, test := range []struct {
		name    string
		command *wire.Command
		want    wire.Outcome
	}{
		{"retry with the same base version", changeCommand("k", "step", "token", 0, 0), wire.OutcomeDone},
		{"retry with the current base version", changeCommand("k", "step", "token", 2, 0), wire.OutcomeDone},
		{"different content", changeCommand("k", "another", "token", 2, 0), wire.OutcomeBadInput},
		{"different document", changeCommand("l", "step", "token", 0, 0), wire.OutcomeBadInput},
		{"different token", changeCommand("k", "step", "token 2", 0, 0), wire.OutcomeConflict},
	} {
		if response := state.apply(test.command, 0); response.Outcome != test.want {
			t.Errorf("change after the token was used (%s): got %v, want outcome %s", test.name, response, test.want)
		}
	}
	if version := state.documents["k"].Version; version != 2 {
		t.Errorf("document has version %d after the retries, want 2", version)
	}
}
