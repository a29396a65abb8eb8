// Package archive is the control node: it keeps parts of the control state, each with two
// colleagues, on its disk.
package archive

import (
	"crypto/sha256"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// keepIds is how long once-only ids are remembered where the settings say nothing.
const keepIds = 30 * time.Minute

// Bounds of one part's state.
const (
	maxDocs   = 512
	maxLeases = 64
	maxTokens = 256
	maxState  = 8 << 20
	maxClaims = 1 << 16 // once-only ids of a part; more than this at once are denied, not forgotten
)

// state is what a part's log adds up to. It is changed by apply alone, in log order, and
// every member gets the same from the same log.
type state struct {
	docs   map[string]*wire.Doc
	leases map[string]*wire.Lease
	tokens []*wire.Token
	seen   map[string]time.Duration // when this member saw the lease granted; not in the log
	claims claims
	bytes  int
}

func newState() *state {
	return &state{docs: map[string]*wire.Doc{}, leases: map[string]*wire.Lease{}, seen: map[string]time.Duration{}, claims: newClaims()}
}

func (s *state) load(b []byte, now time.Duration) error {
	p := &wire.PartState{}
	if err := proto.Unmarshal(b, p); err != nil {
		return err
	}
	if p.Epoch > 1 {
		return fmt.Errorf("state of epoch %d: this program reads epoch 1: start the newer program", p.Epoch)
	}
	*s = *newState()
	for _, d := range p.Docs {
		s.docs[d.Key] = d
		s.bytes += len(d.Body)
	}
	for _, l := range p.Leases {
		s.leases[l.Duty], s.seen[l.Duty] = l, now
	}
	s.tokens = p.Tokens
	s.claims.load(p.Claims, p.AgeNs)
	return nil
}

func (s *state) save() ([]byte, error) {
	p := &wire.PartState{Epoch: 1, Tokens: s.tokens, Claims: s.claims.save(), AgeNs: s.claims.age}
	for _, k := range queue.Keys(s.docs) {
		p.Docs = append(p.Docs, s.docs[k])
	}
	for _, k := range queue.Keys(s.leases) {
		p.Leases = append(p.Leases, s.leases[k])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(p)
}

// apply carries out one command and tells its outcome.
func (s *state) apply(c *wire.Command, now time.Duration) *wire.ChangeTell {
	switch k := c.GetKind().(type) {
	case *wire.Command_Put:
		return s.put(k.Put)
	case *wire.Command_Grant:
		return s.grant(k.Grant, now)
	case *wire.Command_Claims:
		t := &wire.ChangeTell{Outcome: "done"}
		if k.Claims.KeepNs > 0 { // zero: of a release that told no age
			s.claims.pass(k.Claims.PassedNs, k.Claims.KeepNs)
		}
		for _, c := range k.Claims.List {
			granted, full := s.claims.take(c)
			t.Granted, t.Full = append(t.Granted, granted), append(t.Full, full)
		}
		return t
	}
	return &wire.ChangeTell{Outcome: "done"}
}

func (s *state) put(p *wire.Put) *wire.ChangeTell {
	if t := s.again(p); t != nil {
		return t
	}
	if l := s.leases[p.Duty]; p.Duty != "" && (l == nil || l.Fence != p.Fence || l.Holder != p.Holder) {
		return &wire.ChangeTell{Outcome: "epoch-conflict", Fence: l.GetFence(), Owner: l.GetHolder()} // the duty has passed on
	}
	d := s.docs[p.Key]
	if d == nil {
		if len(s.docs) >= maxDocs {
			return &wire.ChangeTell{Outcome: "too-big", Faults: []string{"the part holds as many documents as it may"}}
		}
		d = &wire.Doc{Key: p.Key}
	}
	if !p.AnyEpoch && p.IfEpoch != d.Epoch {
		return &wire.ChangeTell{Outcome: "epoch-conflict", Epoch: d.Epoch}
	}
	if p.Version > 0 && p.Version <= d.Epoch {
		return &wire.ChangeTell{Outcome: "epoch-conflict", Epoch: d.Epoch}
	}
	if s.bytes-len(d.Body)+len(p.Body) > maxState {
		return &wire.ChangeTell{Outcome: "too-big", Epoch: d.Epoch, Faults: []string{"the part holds as many bytes as it may"}}
	}
	s.bytes += len(p.Body) - len(d.Body)
	d = &wire.Doc{Key: p.Key, Body: p.Body, Epoch: max(p.Version, d.Epoch+1)}
	s.docs[p.Key] = d
	if p.Token != "" {
		s.tokens = append(s.tokens, &wire.Token{Token: p.Token, Key: p.Key, Epoch: d.Epoch, Sum: p.Sum})
		if len(s.tokens) > maxTokens {
			s.tokens = s.tokens[1:]
		}
	}
	return &wire.ChangeTell{Outcome: "done", Epoch: d.Epoch}
}

// again answers a change whose token was seen before: the first outcome stands.
func (s *state) again(p *wire.Put) *wire.ChangeTell {
	for _, t := range s.tokens {
		if p.Token == "" || t.Token != p.Token {
			continue
		}
		if t.Key != p.Key || string(t.Sum) != string(p.Sum) {
			return &wire.ChangeTell{Outcome: "bad-input", Faults: []string{"token " + p.Token + " was used for another change: give each change its own"}}
		}
		return &wire.ChangeTell{Outcome: "done", Epoch: t.Epoch, TokenReuse: "the change was made before"}
	}
	return nil
}

// sumOf is what makes two asks under one token the same ask.
func sumOf(p *wire.Put, patch bool) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d %v %v ", p.Key, p.IfEpoch, p.AnyEpoch, patch)
	h.Write(p.Body)
	return h.Sum(nil)
}

// grant gives, renews or takes back a lease. That the old one has run out was judged by
// the owner before it proposed (free); here only the fence decides.
func (s *state) grant(g *wire.Grant, now time.Duration) *wire.ChangeTell {
	l := s.leases[g.Duty]
	if l == nil {
		if len(s.leases) >= maxLeases {
			return &wire.ChangeTell{Outcome: "too-big", Faults: []string{"the part holds as many leases as it may"}}
		}
		l = &wire.Lease{Duty: g.Duty}
	}
	if g.IfFence != l.Fence {
		return &wire.ChangeTell{Outcome: "epoch-conflict", Fence: l.Fence, Owner: l.Holder}
	}
	n := &wire.Lease{Duty: g.Duty, Holder: g.Holder, Fence: l.Fence, TtlNs: g.TtlNs}
	if g.GiveUp {
		n.Holder = ""
	} else if l.Holder != g.Holder {
		n.Fence++
	}
	s.leases[g.Duty], s.seen[g.Duty] = n, now
	return &wire.ChangeTell{Outcome: "done", Fence: n.Fence, Owner: n.Holder}
}

// free tells whether a duty may be granted to a holder now. The holder counts its lease
// from when it asked, which was before any member saw the grant: so it stops first.
func (s *state) free(g *wire.Grant, now time.Duration) bool {
	l := s.leases[g.Duty]
	if g.GiveUp {
		return l != nil && l.Holder == g.Holder
	}
	if l == nil || l.Holder == "" || l.Holder == g.Holder {
		return true
	}
	ttl := time.Duration(l.TtlNs)
	return now-s.seen[g.Duty] > ttl+time.Duration(float64(ttl)*settings.MarginPart)
}
