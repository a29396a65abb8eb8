package workersim

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
)

// The stand-in keeps to the contract: fences, weights, reports and the cache's bound.
func TestTheContract(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	l := daemon.New("cab", settings.Process{Name: "cab-1", Zone: "d", Listen: "127.0.0.1:1", Public: addr, Bounds: settings.DefaultBounds(),
		Options: []string{"log=off", "model=m", "service=s", "kv=100", "token_us=1", "piece_us=1", "fixed_us=1"}})
	if err := Start(l); err != nil {
		t.Fatal(err)
	}
	defer l.Stop(time.Second)
	be, ctx := contract.NewBackends((&net.Dialer{}).DialContext), context.Background()
	opening := "o"
	ask := func(id string, weights uint64, domain string) (contract.Attempt, *contract.StreamVerifier) {
		g := be.Start(ctx, addr, contract.StartRequest{RequestID: id, CacheDomain: domain, Model: "m", Weights: weights, Parts: []string{strings.Repeat(opening, 160), "question"}, Chunks: 3, WaitMs: 2000}, nil)
		c := contract.NewStreamVerifier(id, "cab-1")
		if g.Body != nil {
			var b bytes.Buffer
			if _, err := b.ReadFrom(g.Body); err != nil {
				t.Fatal(err)
			}
			for _, raw := range bytes.Split(bytes.TrimSpace(b.Bytes()), []byte("\n")) {
				if w := c.Verify(raw); w != "" {
					t.Fatalf("%s: %s", id, w)
				}
			}
			g.Body.Close()
		}
		return g, c
	}
	if _, c := ask("a", 1, "shared"); c.Sealed == nil || c.Sealed.PrefilledTokens != 42 {
		t.Fatalf("the first go: %+v", c.Sealed)
	}
	if _, c := ask("b", 1, "shared"); c.Sealed == nil || c.Sealed.CachedTokens != 42 {
		t.Errorf("the same prompt again: %+v", c.Sealed)
	}
	if _, c := ask("c", 1, "t:walled"); c.Sealed == nil || c.Sealed.CachedTokens != 0 {
		t.Errorf("the same prompt behind a wall: %+v", c.Sealed)
	}
	if err := be.Order(ctx, addr, contract.Order{FencingToken: 5, Kind: "weights", Weights: 2}); err != nil {
		t.Fatal(err)
	}
	if err := be.Order(ctx, addr, contract.Order{FencingToken: 4, Kind: "weights", Weights: 3}); err == nil {
		t.Error("an order under a lower fence was obeyed")
	}
	if g, _ := ask("d", 1, "shared"); !g.NotExecuted() || g.Rejected.Reason != "weights" {
		t.Errorf("a start on older weights: %+v", g)
	}
	if _, c := ask("e", 2, "shared"); c.Sealed == nil || c.Sealed.CachedTokens != 0 || c.Sealed.Weights != 2 {
		t.Errorf("the same prompt under newer weights: %+v", c.Sealed)
	}
	// A prefix of older weights is handed over late, by a colleague that is behind: it is
	// held, and nothing that runs now can name it.
	key := prefix.Chain("shared", "m", 1, []string{strings.Repeat("p", 160)})[0].Key.String()
	q, err := http.NewRequest(http.MethodPut, "http://"+addr+"/kv/"+key, strings.NewReader(`{"k":"`+key+`","n":40}`))
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.DefaultClient.Do(q); err != nil || r.StatusCode != 200 {
		t.Fatalf("%v %v", r, err)
	}
	opening = "p"
	if _, c := ask("f", 2, "shared"); c.Sealed == nil || c.Sealed.CachedTokens != 0 || c.Sealed.PrefilledTokens != 42 {
		t.Errorf("a prompt whose opening is held under older weights: %+v", c.Sealed)
	}
	s, err := be.State(ctx, addr)
	if err != nil || s.KVTokens > 100 || s.Weights != 2 || s.FencingToken != 5 {
		t.Errorf("%+v, %v", s, err)
	}
}

// The longest unused goes first, reports are numbered, and one lost on the way is a gap.
func TestCacheAndReports(t *testing.T) {
	k := NewCache(100)
	k.Store("a", 40)
	k.Store("b", 40)
	k.Lookup("a")
	k.CloseReport(false, 1)
	k.Store("c", 40) // b goes
	k.CloseReport(true, 1)
	k.Store("d", 20)
	k.CloseReport(false, 1)
	if _, ok := k.Lookup("b"); ok {
		t.Error("b was used longest ago, and is still held")
	}
	if _, ok := k.Lookup("a"); !ok {
		t.Error("a was used after b, and is gone")
	}
	r := k.Reports(0, false, 1)
	if r.Number != 3 || len(r.Reports) != 2 || r.Reports[0].Number != 1 || r.Reports[1].Number != 3 {
		t.Errorf("%+v", r)
	}
	if l := k.Reports(0, false, 0); len(l.Reports) != 0 || l.Number != 0 {
		t.Errorf("shown before their time: %+v", l)
	}
	if w := k.Reports(0, true, 1); !w.Complete || len(w.Cached) != 3 {
		t.Errorf("%+v", w)
	}
	k.Store("huge", 101)
	if used, room := k.Used(); used != 100 || room != 100 {
		t.Errorf("%d of %d", used, room)
	}
}
