package controlstate

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// permutations calls visit with every order of 0…count-1, and returns how many there are.
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

// putCommand is a change of a document that builds on a version.
func putCommand(key, body, token string, base uint64) *wire.Command {
	put := &wire.Put{Key: key, Body: []byte(body), IfVersion: base, Token: token}
	put.Digest = requestDigest(put, false)
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// putOnAnyVersion builds on whatever version is in force.
func putOnAnyVersion(key, body, token string) *wire.Command {
	command := putCommand(key, body, token, 0)
	put := command.GetPut()
	put.AnyVersion = true
	put.Digest = requestDigest(put, false)
	return command
}

// grantCommand requests a lease, or releases it.
func grantCommand(holder string, expectedToken uint64, release bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Grant{Grant: &wire.Grant{Lease: "d", Holder: holder, IfFence: expectedToken, TtlNs: 1e9, Release: release}}}
}

// fencedPut is a holder's write under its lease.
func fencedPut(holder string, token uint64) *wire.Command {
	command := putCommand("p", holder, "", 0)
	put := command.GetPut()
	put.AnyVersion, put.Lease, put.Fence, put.Holder = true, "d", token, holder
	return command
}

// Two operators race on one version, each retries its change under its token because an answer was lost,
// and a third one builds on any version. In every order one of the racers wins, a retry is the same change,
// and no version is acknowledged for two contents.
func TestRacingChangesInEveryOrder(t *testing.T) {
	commands := []*wire.Command{putCommand("k", "a", "ta", 1), putCommand("k", "a", "ta", 1), putCommand("k", "b", "tb", 1), putCommand("k", "b", "tb", 1), putOnAnyVersion("k", "c", "tc")}
	count := permutations(len(commands), func(order []int) {
		machine := newState()
		machine.apply(putCommand("k", "first", "t0", 0), 0)
		won, bodies := map[int]uint64{}, map[uint64]string{} // the version by operator, the body by version
		for _, index := range order {
			response := machine.apply(proto.Clone(commands[index]).(*wire.Command), 0)
			if response.Outcome != wire.OutcomeDone {
				continue
			}
			body := string(commands[index].GetPut().Body)
			if other, ok := bodies[response.Version]; ok && other != body {
				t.Fatalf("%v: version %d was acknowledged for %s and for %s", order, response.Version, other, body)
			}
			bodies[response.Version], won[index/2] = body, response.Version
		}
		_, firstWon := won[0]
		_, secondWon := won[1]
		if won[2] == 0 || firstWon && secondWon || machine.documents["k"].Version != uint64(1+len(won)) {
			t.Fatalf("%v: won %v, version %d", order, won, machine.documents["k"].Version)
		}
	})
	if count != 120 {
		t.Fatalf("%d orders", count)
	}
}

// A lease passes from one holder to another while renewals and late writes of the first are in flight, in
// every order: fencing tokens only rise, a write under an older one is rejected, and two holders never
// write under the same one.
func TestLeaseHandoverInEveryOrder(t *testing.T) {
	commands := []*wire.Command{grantCommand("a", 1, false), fencedPut("a", 1), grantCommand("b", 1, false), fencedPut("b", 2), grantCommand("a", 1, true), fencedPut("a", 2)}
	count := permutations(len(commands), func(order []int) {
		machine := newState()
		machine.apply(grantCommand("a", 0, false), 0)
		last, writers := uint64(1), map[uint64]string{}
		for _, index := range order {
			response := machine.apply(commands[index], 0)
			token := machine.leases["d"].Fence
			if token < last {
				t.Fatalf("%v: the fencing token fell from %d to %d", order, last, token)
			}
			last = token
			if put := commands[index].GetPut(); put != nil && response.Outcome == wire.OutcomeDone {
				if put.Fence != token || writers[token] != "" && writers[token] != put.Holder {
					t.Fatalf("%v: %s wrote under fencing token %d, %d is in force, %q wrote under it", order, put.Holder, put.Fence, token, writers[token])
				}
				writers[token] = put.Holder
			}
		}
	})
	if count != 720 {
		t.Fatalf("%d orders", count)
	}
}

// A lease is grantable to another holder only when it has run out by the member's own clock, with a
// margin; to its holder always.
func TestWhenALeaseIsGrantable(t *testing.T) {
	machine := newState()
	grantTo := func(holder string) *wire.Grant {
		return &wire.Grant{Lease: "d", Holder: holder, TtlNs: uint64(8 * time.Second)}
	}
	machine.apply(&wire.Command{Kind: &wire.Command_Grant{Grant: grantTo("a")}}, 10*time.Second)
	for _, test := range []struct {
		holder string
		at     time.Duration
		want   bool
	}{{"a", 11, true}, {"b", 11, false}, {"b", 18, false}, {"b", 19, false}, {"b", 20, true}} {
		if got := machine.isGrantable(grantTo(test.holder), test.at*time.Second); got != test.want {
			t.Errorf("%s at %d s: %v", test.holder, test.at, got)
		}
	}
	saved, err := machine.save()
	if err != nil {
		t.Fatal(err)
	}
	restarted := newState()
	if err := restarted.load(saved, 100*time.Second); err != nil {
		t.Fatal(err)
	}
	if restarted.isGrantable(grantTo("b"), 108*time.Second) {
		t.Error("after a restart the lease isn't counted anew")
	}
}

// Documents and tokens stay within their bounds.
func TestStateIsBounded(t *testing.T) {
	machine := newState()
	for i := range maxDocuments + 10 {
		response := machine.apply(putCommand(fmt.Sprint("k", i), "x", fmt.Sprint("t", i), 0), 0)
		if (response.Outcome == wire.OutcomeDone) != (i < maxDocuments) {
			t.Fatalf("document %d: %s", i, response.Outcome)
		}
	}
	if len(machine.recentTokens) > maxRecentTokens {
		t.Errorf("%d tokens", len(machine.recentTokens))
	}
	if response := machine.apply(putCommand("k0", string(make([]byte, maxStateBytes+1)), "", 1), 0); response.Outcome != wire.OutcomeTooLarge {
		t.Errorf("a body over the bound: %s", response.Outcome)
	}
}

// claimOf claims one of many ids.
func claimOf(number int, nonce uint64) *wire.Claim {
	return &wire.Claim{Id: fmt.Appendf(nil, "%016d", number), Nonce: nonce}
}

// applyClaim applies a claim, or a release, when a time has passed since the last one.
func applyClaim(s *state, elapsed time.Duration, claim *wire.Claim) (granted, full bool) {
	claims := &wire.Claims{Claims: []*wire.Claim{claim}, ElapsedNs: uint64(elapsed), RetentionNs: uint64(defaultClaimRetention)}
	response := s.apply(&wire.Command{Kind: &wire.Command_Claims{Claims: claims}}, 0)
	return response.Granted[0], response.Full[0]
}

// releaseOf releases what claimOf claims.
func releaseOf(number int, nonce uint64) *wire.Claim {
	claim := claimOf(number, nonce)
	claim.Release = true
	return claim
}

// A flood of claims never releases an older one while its caller may retry: a full shard accepts no more.
// Claims are released by age alone, at the same time by every member, also through a snapshot. Released ids
// leave room at once, and the list of them stays bounded.
func TestClaimsAreReleasedByAge(t *testing.T) {
	machine := newState()
	for number := range maxClaims {
		if granted, full := applyClaim(machine, 0, claimOf(number, 1)); !granted || full {
			t.Fatalf("claim %d was rejected", number)
		}
	}
	if granted, full := applyClaim(machine, defaultClaimRetention-1, claimOf(maxClaims, 1)); granted || !full {
		t.Fatalf("a full shard accepted one more claim: %v %v", granted, full)
	}
	if granted, _ := applyClaim(machine, 0, claimOf(0, 2)); granted {
		t.Fatal("the oldest claim was released too early")
	}
	if granted, _ := applyClaim(machine, 0, claimOf(0, 1)); !granted {
		t.Fatal("a claim that its holder retried was rejected")
	}
	saved, err := machine.save()
	if err != nil || len(saved) > 4<<20 {
		t.Fatalf("a full shard's snapshot: %d bytes, %v", len(saved), err)
	}
	restored := newState()
	if err := restored.load(saved, 0); err != nil {
		t.Fatal(err)
	}
	checkReleases(t, machine)
	checkReleases(t, restored)
	byLog, _ := machine.save()
	bySnapshot, _ := restored.save()
	if string(byLog) != string(bySnapshot) {
		t.Error("members that read a snapshot differ from those that applied the log")
	}
	for number := range 4 * maxClaims {
		nonce := uint64(number + 100)
		applyClaim(machine, 0, claimOf(3, nonce))
		applyClaim(machine, 0, releaseOf(3, nonce))
	}
	if len(machine.claims.order) > 2*maxClaims+2 {
		t.Errorf("%d places for %d ids", len(machine.claims.order), len(machine.claims.holders))
	}
}

// checkReleases releases an id and claims it again, in a state that is full and about to release the oldest.
func checkReleases(t *testing.T, s *state) {
	t.Helper()
	if granted, _ := applyClaim(s, 0, releaseOf(7, 1)); !granted {
		t.Fatal("an id can't be released")
	}
	if granted, _ := applyClaim(s, 0, claimOf(7, 9)); !granted {
		t.Fatal("an id that was released can't be claimed")
	}
	if granted, _ := applyClaim(s, 1, claimOf(0, 2)); !granted {
		t.Fatal("a claim outlived its age")
	}
	if granted, _ := applyClaim(s, 0, claimOf(7, 8)); granted {
		t.Fatal("an id that was claimed again is released by the age of its first claim")
	}
}

// A shard's age is the time that its leaders saw pass: none between two leaders, none twice.
func TestShardAgeCountsLeadershipTime(t *testing.T) {
	manual := &clock.Manual{Time: time.Hour}
	replica := &shard{clock: manual}
	for _, test := range []struct {
		at, term uint64
		want     time.Duration
	}{{0, 1, 0}, {5, 1, 5}, {9, 2, 0}, {10, 2, 1}, {30, 4, 0}} {
		manual.Time = time.Hour + time.Duration(test.at)
		if got := replica.elapsedInTerm(test.term); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}
