package archive

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// orders calls f with every order of 0…n-1.
func orders(n int, f func([]int)) (count int) {
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

func put(key, body, token string, epoch uint64) *wire.Command {
	u := &wire.Put{Key: key, Body: []byte(body), IfEpoch: epoch, Token: token}
	u.Sum = sumOf(u, false)
	return &wire.Command{Kind: &wire.Command_Put{Put: u}}
}

// Two operators race on one epoch, each sends its change again under its token because an
// answer was lost, and a third comes without an epoch to go by. In every order: one of the
// racers wins, a change sent again is the same change, and no epoch is told twice.
func TestEveryOrderOfRacingSetups(t *testing.T) {
	cs := []*wire.Command{put("k", "a", "ta", 1), put("k", "a", "ta", 1), put("k", "b", "tb", 1), put("k", "b", "tb", 1), put("k", "c", "tc", 0)}
	cs[4].GetPut().AnyEpoch = true
	cs[4].GetPut().Sum = sumOf(cs[4].GetPut(), false)
	n := orders(len(cs), func(o []int) {
		s := newState()
		s.apply(put("k", "first", "t0", 0), 0)
		won, epochs := map[int]uint64{}, map[uint64]string{}
		for _, i := range o {
			r := s.apply(proto.Clone(cs[i]).(*wire.Command), 0)
			if r.Outcome == "done" {
				body := string(cs[i].GetPut().Body)
				if b, ok := epochs[r.Epoch]; ok && b != body {
					t.Fatalf("%v: epoch %d was told for %s and for %s", o, r.Epoch, b, body)
				}
				epochs[r.Epoch], won[i/2] = body, r.Epoch
			}
		}
		_, a := won[0]
		_, b := won[1]
		if won[2] == 0 || a && b || s.docs["k"].Epoch != uint64(1+len(won)) {
			t.Fatalf("%v: won %v, epoch %d", o, won, s.docs["k"].Epoch)
		}
	})
	if n != 120 {
		t.Fatalf("%d orders", n)
	}
}

// A lease passes from one holder to another while renewals and late writes of the first
// are under way, in every order: fences only rise, a write under an older fence is denied,
// and both are never let write under one fence.
func TestEveryOrderOfALeasePassingOn(t *testing.T) {
	grant := func(h string, fence uint64, up bool) *wire.Command {
		return &wire.Command{Kind: &wire.Command_Grant{Grant: &wire.Grant{Duty: "d", Holder: h, IfFence: fence, TtlNs: 1e9, GiveUp: up}}}
	}
	write := func(h string, fence uint64) *wire.Command {
		c := put("p", h, "", 0)
		u := c.GetPut()
		u.AnyEpoch, u.Duty, u.Fence, u.Holder = true, "d", fence, h
		return c
	}
	cs := []*wire.Command{grant("a", 1, false), write("a", 1), grant("b", 1, false), write("b", 2), grant("a", 1, true), write("a", 2)}
	n := orders(len(cs), func(o []int) {
		s := newState()
		s.apply(grant("a", 0, false), 0)
		last, by := uint64(1), map[uint64]string{}
		for _, i := range o {
			r := s.apply(cs[i], 0)
			f := s.leases["d"].Fence
			if f < last {
				t.Fatalf("%v: the fence fell from %d to %d", o, last, f)
			}
			last = f
			if u := cs[i].GetPut(); u != nil && r.Outcome == "done" {
				if u.Fence != f || by[f] != "" && by[f] != u.Holder {
					t.Fatalf("%v: %s wrote under fence %d, %d is in force, %q wrote under it", o, u.Holder, u.Fence, f, by[f])
				}
				by[f] = u.Holder
			}
		}
	})
	if n != 720 {
		t.Fatalf("%d orders", n)
	}
}

// A duty is free for another only when the lease has run out by the member's own clock,
// with a margin; for its holder always.
func TestWhenADutyIsFree(t *testing.T) {
	s := newState()
	g := func(h string) *wire.Grant { return &wire.Grant{Duty: "d", Holder: h, TtlNs: uint64(8 * time.Second)} }
	s.apply(&wire.Command{Kind: &wire.Command_Grant{Grant: g("a")}}, 10*time.Second)
	for _, c := range []struct {
		h    string
		at   time.Duration
		want bool
	}{{"a", 11, true}, {"b", 11, false}, {"b", 18, false}, {"b", 19, false}, {"b", 20, true}} {
		if got := s.free(g(c.h), c.at*time.Second); got != c.want {
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
	if o.free(g("b"), 108*time.Second) {
		t.Error("after a restart the lease isn't counted anew")
	}
}

// Bounds: documents, tokens and claims stay within theirs, and the oldest are forgotten.
func TestAPartsStateIsBounded(t *testing.T) {
	s := newState()
	for i := range maxDocs + 10 {
		r := s.apply(put(fmt.Sprint("k", i), "x", fmt.Sprint("t", i), 0), 0)
		if (r.Outcome == "done") != (i < maxDocs) {
			t.Fatalf("document %d: %s", i, r.Outcome)
		}
	}
	if len(s.tokens) > maxTokens {
		t.Errorf("%d tokens", len(s.tokens))
	}
	if r := s.apply(put("k0", string(make([]byte, maxState+1)), "", 1), 0); r.Outcome != "too-big" {
		t.Errorf("a body over the bound: %s", r.Outcome)
	}
	for i := range maxClaims + 100 {
		id := fmt.Appendf(nil, "%016d", i)
		if !s.claims.take(&wire.Claim{Id: id, Nonce: 1}) {
			t.Fatalf("claim %d was denied", i)
		}
	}
	if len(s.claims.by) != maxClaims || s.claims.take(&wire.Claim{Id: fmt.Appendf(nil, "%016d", maxClaims+99), Nonce: 2}) {
		t.Errorf("%d claims, or a late one was given away", len(s.claims.by))
	}
}
