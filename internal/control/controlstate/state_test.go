package controlstate

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// permutations calls visit with every permutation of the numbers 0 to count-1, and returns how many there are.
func permutations(count int, visit func([]int)) (orders int) {
	var walk func(chosen []int, used int)
	walk = func(chosen []int, used int) {
		if len(chosen) == count {
			orders++
			visit(chosen)
			return
		}
		for next := range count {
			if used&(1<<next) == 0 {
				walk(append(append([]int(nil), chosen...), next), used|1<<next)
			}
		}
	}
	walk(nil, 0)
	return orders
}

// putCommand returns a change of a document that is based on a version.
func putCommand(key, body, token string, base uint64) *wire.Command {
	put := &wire.Put{Key: key, Body: []byte(body), IfVersion: base, Token: token}
	put.Digest = requestDigest(put, false)
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// putOnAnyVersion returns a change of a document that applies to any current version.
func putOnAnyVersion(key, body, token string) *wire.Command {
	command := putCommand(key, body, token, 0)
	put := command.GetPut()
	put.AnyVersion = true
	put.Digest = requestDigest(put, false)
	return command
}

// grantCommand returns a command that grants the lease to a holder or releases it, if the current fencing token is the
// expected one.
func grantCommand(holder string, expectedToken uint64, release bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Grant{Grant: &wire.Grant{Lease: "d", Holder: holder, IfFence: expectedToken, TtlNs: 1e9, Release: release}}}
}

// fencedPut returns a change of a document by a lease holder, to be rejected if the fencing token is not current.
func fencedPut(holder string, token uint64) *wire.Command {
	command := putCommand("p", holder, "", 0)
	put := command.GetPut()
	put.AnyVersion, put.Lease, put.Fence, put.Holder = true, "d", token, holder
	return command
}

// Two operators change a document on the same base version, each sends its change twice under the same idempotency
// token, as after a lost response, and a third operator changes whatever version is current. In every order of the
// commands at most one of the first two must succeed, a retry must not be applied again, and no version may be
// acknowledged with two contents.
func TestRacingChangesInEveryOrder(t *testing.T) {
	commands := []*wire.Command{putCommand("k", "a", "ta", 1), putCommand("k", "a", "ta", 1), putCommand("k", "b", "tb", 1), putCommand("k", "b", "tb", 1), putOnAnyVersion("k", "c", "tc")}
	count := permutations(len(commands), func(order []int) {
		stateMachine := newState()
		stateMachine.apply(putCommand("k", "first", "t0", 0), 0)
		acknowledged, bodies := map[int]uint64{}, map[uint64]string{} // acknowledged versions by operator, and bodies by version
		for _, index := range order {
			response := stateMachine.apply(proto.Clone(commands[index]).(*wire.Command), 0)
			if response.Outcome != wire.OutcomeDone {
				continue
			}
			body := string(commands[index].GetPut().Body)
			if other, ok := bodies[response.Version]; ok && other != body {
				t.Fatalf("command order %v: version %d was acknowledged with body %q and with body %q", order, response.Version, other, body)
			}
			bodies[response.Version], acknowledged[index/2] = body, response.Version
		}
		_, firstAcknowledged := acknowledged[0]
		_, secondAcknowledged := acknowledged[1]
		if acknowledged[2] == 0 || firstAcknowledged && secondAcknowledged || stateMachine.documents["k"].Version != uint64(1+len(acknowledged)) {
			t.Fatalf("command order %v: acknowledged versions by operator are %v and the document has version %d, want operator 2 and at most one of the others acknowledged, and version %d", order, acknowledged, stateMachine.documents["k"].Version, 1+len(acknowledged))
		}
	})
	if count != 120 {
		t.Fatalf("tested %d command orders, want 120", count)
	}
}

// A lease passes from one holder to another while renewals and delayed writes of both are in flight. In every order of
// the commands the fencing token must never decrease, a write under an earlier token must be rejected, and two holders
// must never write under the same token.
func TestLeaseHandoverInEveryOrder(t *testing.T) {
	commands := []*wire.Command{grantCommand("a", 1, false), fencedPut("a", 1), grantCommand("b", 1, false), fencedPut("b", 2), grantCommand("a", 1, true), fencedPut("a", 2)}
	count := permutations(len(commands), func(order []int) {
		stateMachine := newState()
		stateMachine.apply(grantCommand("a", 0, false), 0)
		lastToken, writers := uint64(1), map[uint64]string{}
		for _, index := range order {
			response := stateMachine.apply(commands[index], 0)
			token := stateMachine.leases["d"].Fence
			if token < lastToken {
				t.Fatalf("command order %v: fencing token decreased from %d to %d", order, lastToken, token)
			}
			lastToken = token
			if put := commands[index].GetPut(); put != nil && response.Outcome == wire.OutcomeDone {
				if put.Fence != token || writers[token] != "" && writers[token] != put.Holder {
					t.Fatalf("command order %v: write of %s under fencing token %d was accepted; current token is %d, and its earlier writer is %q", order, put.Holder, put.Fence, token, writers[token])
				}
				writers[token] = put.Holder
			}
		}
	})
	if count != 720 {
		t.Fatalf("tested %d command orders, want 720", count)
	}
}

// A lease must be grantable to its current holder at any time, but to another holder only after it has expired by the
// member's own clock, plus a safety margin. After a restart it counts as granted at the time of the restart.
func TestWhenALeaseIsGrantable(t *testing.T) {
	stateMachine := newState()
	grantTo := func(holder string) *wire.Grant {
		return &wire.Grant{Lease: "d", Holder: holder, TtlNs: uint64(8 * time.Second)}
	}
	stateMachine.apply(&wire.Command{Kind: &wire.Command_Grant{Grant: grantTo("a")}}, 10*time.Second)
	for _, test := range []struct {
		holder string
		at     time.Duration
		want   bool
	}{{"a", 11, true}, {"b", 11, false}, {"b", 18, false}, {"b", 19, false}, {"b", 20, true}} {
		if got := stateMachine.isGrantable(grantTo(test.holder), test.at*time.Second); got != test.want {
			t.Errorf("isGrantable to %q at %d s, after a grant to \"a\" for 8 s at 10 s: got %v, want %v", test.holder, test.at, got, test.want)
		}
	}
	saved, err := stateMachine.save()
	if err != nil {
		t.Fatalf("saving the state: %v", err)
	}
	restarted := newState()
	if err := restarted.load(saved, 100*time.Second); err != nil {
		t.Fatalf("loading the saved state: %v", err)
	}
	if restarted.isGrantable(grantTo("b"), 108*time.Second) {
		t.Error("lease of 8 s that was loaded from a snapshot at 100 s is grantable to another holder at 108 s, want only after a further safety margin")
	}
}

// The number of documents, their total size and the number of recent tokens must stay within their limits.
func TestStateIsBounded(t *testing.T) {
	stateMachine := newState()
	for i := range maxDocuments + 10 {
		response := stateMachine.apply(putCommand(fmt.Sprint("k", i), "x", fmt.Sprint("t", i), 0), 0)
		if (response.Outcome == wire.OutcomeDone) != (i < maxDocuments) {
			t.Fatalf("creating document %d: outcome %s, want done only for the first %d documents", i, response.Outcome, maxDocuments)
		}
	}
	if len(stateMachine.recentTokens) > maxRecentTokens {
		t.Errorf("state keeps %d recent tokens, want at most %d", len(stateMachine.recentTokens), maxRecentTokens)
	}
	if response := stateMachine.apply(putCommand("k0", string(make([]byte, maxStateBytes+1)), "", 1), 0); response.Outcome != wire.OutcomeTooLarge {
		t.Errorf("document body of %d bytes: outcome %s, want %s", maxStateBytes+1, response.Outcome, wire.OutcomeTooLarge)
	}
}

// claimOf returns a claim of a numbered request ID; the nonce identifies the caller.
func claimOf(number int, nonce uint64) *wire.Claim {
	return &wire.Claim{Id: fmt.Appendf(nil, "%016d", number), Nonce: nonce}
}

// applyClaim applies a claim or a release after the given time has elapsed on the shard's clock.
func applyClaim(s *state, elapsed time.Duration, claim *wire.Claim) (granted, full bool) {
	claims := &wire.Claims{Claims: []*wire.Claim{claim}, ElapsedNs: uint64(elapsed), RetentionNs: uint64(defaultClaimRetention)}
	response := s.apply(&wire.Command{Kind: &wire.Command_Claims{Claims: claims}}, 0)
	return response.Granted[0], response.Full[0]
}

// releaseOf returns the release of a claim by claimOf.
func releaseOf(number int, nonce uint64) *wire.Claim {
	claim := claimOf(number, nonce)
	claim.Release = true
	return claim
}

// Many claims of at-most-once requests must not evict an older claim whose caller may still retry: a full table rejects
// further claims. Claims are evicted by age alone, at the same time by members that applied the log and by members that
// loaded a snapshot. A released ID can be claimed again at once, and the eviction queue stays bounded.
func TestClaimsAreReleasedByAge(t *testing.T) {
	stateMachine := newState()
	for number := range maxClaims {
		if granted, full := applyClaim(stateMachine, 0, claimOf(number, 1)); !granted || full {
			t.Fatalf("claim of request ID %d of %d: granted %v, table full %v, want it granted", number+1, maxClaims, granted, full)
		}
	}
	if granted, full := applyClaim(stateMachine, defaultClaimRetention-1, claimOf(maxClaims, 1)); granted || !full {
		t.Fatalf("claim of a new request ID in a full table: granted %v, table full %v, want it rejected as full", granted, full)
	}
	if granted, _ := applyClaim(stateMachine, 0, claimOf(0, 2)); granted {
		t.Fatal("request ID of the oldest claim was granted to another caller before the end of its retention")
	}
	if granted, _ := applyClaim(stateMachine, 0, claimOf(0, 1)); !granted {
		t.Fatal("claim of a request ID that its holder repeated was rejected, want it granted again")
	}
	saved, err := stateMachine.save()
	if err != nil || len(saved) > 4<<20 {
		t.Fatalf("saving a state with a full claim table: %d bytes, error %v, want at most %d bytes", len(saved), err, 4<<20)
	}
	restored := newState()
	if err := restored.load(saved, 0); err != nil {
		t.Fatalf("loading the state with a full claim table: %v", err)
	}
	checkReleases(t, stateMachine)
	checkReleases(t, restored)
	byLog, _ := stateMachine.save()
	bySnapshot, _ := restored.save()
	if string(byLog) != string(bySnapshot) {
		t.Error("state loaded from a snapshot differs from the state that applied the log, after the same further commands")
	}
	for number := range 4 * maxClaims {
		nonce := uint64(number + 100)
		applyClaim(stateMachine, 0, claimOf(3, nonce))
		applyClaim(stateMachine, 0, releaseOf(3, nonce))
	}
	if len(stateMachine.claims.order) > 2*maxClaims+2 {
		t.Errorf("eviction queue has %d entries for %d claimed IDs, want at most %d", len(stateMachine.claims.order), len(stateMachine.claims.holders), 2*maxClaims+2)
	}
}

// checkReleases checks releases and evictions in a state whose claim table is full and whose oldest claims will exceed
// their retention after another nanosecond.
func checkReleases(t *testing.T, s *state) {
	t.Helper()
	if granted, _ := applyClaim(s, 0, releaseOf(7, 1)); !granted {
		t.Fatal("release of a claimed request ID by its holder was rejected")
	}
	if granted, _ := applyClaim(s, 0, claimOf(7, 9)); !granted {
		t.Fatal("claim of a released request ID was rejected")
	}
	if granted, _ := applyClaim(s, 1, claimOf(0, 2)); !granted {
		t.Fatal("request ID whose claim is older than the retention was not granted to another caller")
	}
	if granted, _ := applyClaim(s, 0, claimOf(7, 8)); granted {
		t.Fatal("request ID that was released and claimed again was evicted by the age of its first claim")
	}
}

// The clock of a shard must advance by the time that elapses during each leader's term: time between two leaders does not
// count, and no time counts twice.
func TestShardAgeCountsLeadershipTime(t *testing.T) {
	manual := &clock.Manual{Time: time.Hour}
	replica := &shard{clock: manual}
	for _, test := range []struct {
		at, term uint64
		want     time.Duration
	}{{0, 1, 0}, {5, 1, 5}, {9, 2, 0}, {10, 2, 1}, {30, 4, 0}} {
		manual.Time = time.Hour + time.Duration(test.at)
		if got := replica.elapsedInTerm(test.term); got != test.want {
			t.Errorf("elapsed time in term %d at %d ns: got %d ns, want %d ns", test.term, test.at, got, test.want)
		}
	}
}
