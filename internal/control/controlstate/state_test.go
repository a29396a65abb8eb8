package controlstate

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// permutations calls f with every order of 0…n-1.
func permutations(n int, f func([]int)) (count int) {
	var walk func(done []int, used int)
	walk = func(done []int, used int) {
		if len(done) == n {
			count++
			f(done)
			return
		}
		for i := range n {
			if used&(1<<i) == 0 {
				walk(append(append([]int(nil), done...), i), used|1<<i)
			}
		}
	}
	walk(nil, 0)
	return count
}

func putCommand(key, body, token string, epoch uint64) *wire.Command {
	put := &wire.Put{Key: key, Body: []byte(body), IfVersion: epoch, Token: token}
	put.Digest = requestDigest(put, false)
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// Two operators race on one epoch, each sends its change again under its token because an
// answer was lost, and a third comes without an epoch to go by. In every order: one of the
// racers wins, a change sent again is the same change, and no epoch is told twice.
func TestRacingChangesInEveryOrder(t *testing.T) {
	commands := []*wire.Command{putCommand("k", "a", "ta", 1), putCommand("k", "a", "ta", 1), putCommand("k", "b", "tb", 1), putCommand("k", "b", "tb", 1), putCommand("k", "c", "tc", 0)}
	commands[4].GetPut().AnyVersion = true
	commands[4].GetPut().Digest = requestDigest(commands[4].GetPut(), false)
	count := permutations(len(commands), func(order []int) {
		state := newState()
		state.apply(putCommand("k", "first", "t0", 0), 0)
		won, epochs := map[int]uint64{}, map[uint64]string{}
		for _, i := range order {
			response := state.apply(proto.Clone(commands[i]).(*wire.Command), 0)
			if response.Outcome == wire.OutcomeDone {
				body := string(commands[i].GetPut().Body)
				if b, ok := epochs[response.Version]; ok && b != body {
					t.Fatalf("%v: epoch %d was told for %s and for %s", order, response.Version, b, body)
				}
				epochs[response.Version], won[i/2] = body, response.Version
			}
		}
		_, a := won[0]
		_, b := won[1]
		if won[2] == 0 || a && b || state.documents["k"].Version != uint64(1+len(won)) {
			t.Fatalf("%v: won %v, epoch %d", order, won, state.documents["k"].Version)
		}
	})
	if count != 120 {
		t.Fatalf("%d orders", count)
	}
}

// A lease passes from one holder to another while renewals and late writes of the first
// are under way, in every order: fences only rise, a write under an older fence is denied,
// and both are never let write under one fence.
func TestLeaseHandoverInEveryOrder(t *testing.T) {
	grant := func(h string, fence uint64, up bool) *wire.Command {
		return &wire.Command{Kind: &wire.Command_Grant{Grant: &wire.Grant{Lease: "d", Holder: h, IfFence: fence, TtlNs: 1e9, Release: up}}}
	}
	write := func(h string, fence uint64) *wire.Command {
		command := putCommand("p", h, "", 0)
		put := command.GetPut()
		put.AnyVersion, put.Lease, put.Fence, put.Holder = true, "d", fence, h
		return command
	}
	commands := []*wire.Command{grant("a", 1, false), write("a", 1), grant("b", 1, false), write("b", 2), grant("a", 1, true), write("a", 2)}
	count := permutations(len(commands), func(order []int) {
		s := newState()
		s.apply(grant("a", 0, false), 0)
		last, by := uint64(1), map[uint64]string{}
		for _, i := range order {
			response := s.apply(commands[i], 0)
			f := s.leases["d"].Fence
			if f < last {
				t.Fatalf("%v: the fence fell from %d to %d", order, last, f)
			}
			last = f
			if put := commands[i].GetPut(); put != nil && response.Outcome == wire.OutcomeDone {
				if put.Fence != f || by[f] != "" && by[f] != put.Holder {
					t.Fatalf("%v: %s wrote under fence %d, %d is in force, %q wrote under it", order, put.Holder, put.Fence, f, by[f])
				}
				by[f] = put.Holder
			}
		}
	})
	if count != 720 {
		t.Fatalf("%d orders", count)
	}
}

// A duty is free for another only when the lease has run out by the member's own clock,
// with a margin; for its holder always.
func TestWhenALeaseIsGrantable(t *testing.T) {
	s := newState()
	g := func(h string) *wire.Grant { return &wire.Grant{Lease: "d", Holder: h, TtlNs: uint64(8 * time.Second)} }
	s.apply(&wire.Command{Kind: &wire.Command_Grant{Grant: g("a")}}, 10*time.Second)
	for _, c := range []struct {
		h    string
		at   time.Duration
		want bool
	}{{"a", 11, true}, {"b", 11, false}, {"b", 18, false}, {"b", 19, false}, {"b", 20, true}} {
		if got := s.isGrantable(g(c.h), c.at*time.Second); got != c.want {
			t.Errorf("%s at %d s: %v", c.h, c.at, got)
		}
	}
	body, err := s.save()
	if err != nil {
		t.Fatal(err)
	}
	o := newState()
	if err := o.load(body, 100*time.Second); err != nil {
		t.Fatal(err)
	}
	if o.isGrantable(g("b"), 108*time.Second) {
		t.Error("after a restart the lease isn't counted anew")
	}
}

// Bounds: documents and tokens stay within theirs.
func TestStateIsBounded(t *testing.T) {
	s := newState()
	for i := range maxDocuments + 10 {
		response := s.apply(putCommand(fmt.Sprint("k", i), "x", fmt.Sprint("t", i), 0), 0)
		if (response.Outcome == wire.OutcomeDone) != (i < maxDocuments) {
			t.Fatalf("document %d: %s", i, response.Outcome)
		}
	}
	if len(s.recentTokens) > maxRecentTokens {
		t.Errorf("%d tokens", len(s.recentTokens))
	}
	if response := s.apply(putCommand("k0", string(make([]byte, maxStateBytes+1)), "", 1), 0); response.Outcome != wire.OutcomeTooLarge {
		t.Errorf("a body over the bound: %s", response.Outcome)
	}
}

func claimOf(i int, nonce uint64) *wire.Claim {
	return &wire.Claim{Id: fmt.Appendf(nil, "%016d", i), Nonce: nonce}
}

// A flood of ids never makes an old one runnable again while its caller may repeat it: a full
// part takes no more. Ids go by age alone, the same at every member, also through a slot; ids
// given back leave room at once, and the order of what was given back stays bounded.
func TestClaimsAreReleasedByAge(t *testing.T) {
	apply := func(s *state, passed time.Duration, request *wire.Claim) (bool, bool) {
		response := s.apply(&wire.Command{Kind: &wire.Command_Claims{Claims: &wire.Claims{Claims: []*wire.Claim{request}, ElapsedNs: uint64(passed), RetentionNs: uint64(defaultClaimRetention)}}}, 0)
		return response.Granted[0], response.Full[0]
	}
	s := newState()
	for i := range maxClaims {
		if ok, full := apply(s, 0, claimOf(i, 1)); !ok || full {
			t.Fatalf("claim %d was denied", i)
		}
	}
	if ok, full := apply(s, defaultClaimRetention-1, claimOf(maxClaims, 1)); ok || !full {
		t.Fatalf("a full part took one more: %v %v", ok, full)
	}
	if ok, _ := apply(s, 0, claimOf(0, 2)); ok {
		t.Fatal("the oldest id was given away while it was young")
	}
	if ok, _ := apply(s, 0, claimOf(0, 1)); !ok {
		t.Fatal("a claim asked for again by its holder was denied")
	}
	body, err := s.save()
	if err != nil || len(body) > 4<<20 {
		t.Fatalf("a full part's slot: %d bytes, %v", len(body), err)
	}
	o := newState()
	if err := o.load(body, 0); err != nil {
		t.Fatal(err)
	}
	for _, x := range []*state{s, o} {
		if ok, _ := apply(x, 0, &wire.Claim{Id: claimOf(7, 1).Id, Nonce: 1, Release: true}); !ok {
			t.Fatal("an id can't be given back")
		}
		if ok, _ := apply(x, 0, claimOf(7, 9)); !ok {
			t.Fatal("an id that was given back can't be taken")
		}
		if ok, _ := apply(x, 1, claimOf(0, 2)); !ok {
			t.Fatal("an id outlived its age")
		}
		if ok, _ := apply(x, 0, claimOf(7, 8)); ok {
			t.Fatal("an id taken again goes by its first incarnation's age")
		}
	}
	a, _ := s.save()
	b, _ := o.save()
	if string(a) != string(b) {
		t.Error("members that read a slot differ from those that applied the log")
	}
	for i := range 4 * maxClaims {
		apply(s, 0, claimOf(3, uint64(i+100)))
		apply(s, 0, &wire.Claim{Id: claimOf(3, 1).Id, Nonce: uint64(i + 100), Release: true})
	}
	if len(s.claims.order) > 2*maxClaims+2 {
		t.Errorf("%d places for %d ids", len(s.claims.order), len(s.claims.holders))
	}
}

// The part's age is what its owners saw pass: none between owners, none twice.
func TestShardAgeCountsLeadershipTime(t *testing.T) {
	clock := &clock.Manual{Time: time.Hour}
	replica := &shard{clock: clock}
	for _, x := range []struct {
		at, term uint64
		want     time.Duration
	}{{0, 1, 0}, {5, 1, 5}, {9, 2, 0}, {10, 2, 1}, {30, 4, 0}} {
		clock.Time = time.Hour + time.Duration(x.at)
		if got := replica.elapsedInTerm(x.term); got != x.want {
			t.Errorf("%+v: %d", x, got)
		}
	}
}
