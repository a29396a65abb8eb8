// Package controlstate is the control node: it keeps parts of the control state, each with two
// colleagues, on its disk.
package controlstate

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
const defaultKeepIDs = 30 * time.Minute

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
	docs      map[string]*wire.Document
	leases    map[string]*wire.Lease
	tokens    []*wire.ChangeToken
	grantedAt map[string]time.Duration // when this member saw the lease granted; not in the log
	claims    claims
	bytes     int
}

func newState() *state {
	return &state{docs: map[string]*wire.Document{}, leases: map[string]*wire.Lease{}, grantedAt: map[string]time.Duration{}, claims: newClaims()}
}

func (s *state) load(b []byte, now time.Duration) error {
	p := &wire.ShardState{}
	if err := proto.Unmarshal(b, p); err != nil {
		return err
	}
	if p.Format > 1 {
		return fmt.Errorf("state of epoch %d: this program reads epoch 1: start the newer program", p.Format)
	}
	*s = *newState()
	for _, d := range p.Documents {
		s.docs[d.Key] = d
		s.bytes += len(d.Body)
	}
	for _, l := range p.Leases {
		s.leases[l.Name], s.grantedAt[l.Name] = l, now
	}
	s.tokens = p.Tokens
	s.claims.load(p.Claims, p.AgeNs)
	return nil
}

func (s *state) save() ([]byte, error) {
	p := &wire.ShardState{Format: 1, Tokens: s.tokens, Claims: s.claims.save(), AgeNs: s.claims.age}
	for _, k := range queue.Keys(s.docs) {
		p.Documents = append(p.Documents, s.docs[k])
	}
	for _, k := range queue.Keys(s.leases) {
		p.Leases = append(p.Leases, s.leases[k])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(p)
}

// apply carries out one command and tells its outcome.
func (s *state) apply(c *wire.Command, now time.Duration) *wire.ChangeResponse {
	switch k := c.GetKind().(type) {
	case *wire.Command_Put:
		return s.put(k.Put)
	case *wire.Command_Grant:
		return s.grant(k.Grant, now)
	case *wire.Command_Claims:
		t := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
		if k.Claims.KeepNs > 0 { // zero: of a release that told no age
			s.claims.pass(k.Claims.PassedNs, k.Claims.KeepNs)
		}
		for _, c := range k.Claims.List {
			granted, full := s.claims.take(c)
			t.Granted, t.Full = append(t.Granted, granted), append(t.Full, full)
		}
		return t
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone}
}

func (s *state) put(p *wire.Put) *wire.ChangeResponse {
	if t := s.repeated(p); t != nil {
		return t
	}
	if l := s.leases[p.Lease]; p.Lease != "" && (l == nil || l.Fence != p.Fence || l.Holder != p.Holder) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.GetFence(), Leader: l.GetHolder()} // the duty has passed on
	}
	d := s.docs[p.Key]
	if d == nil {
		if len(s.docs) >= maxDocs {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooBig, Errors: []string{"the part holds as many documents as it may"}}
		}
		d = &wire.Document{Key: p.Key}
	}
	if !p.AnyVersion && p.IfVersion != d.Version {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: d.Version}
	}
	if p.NewVersion > 0 && p.NewVersion <= d.Version {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: d.Version}
	}
	if s.bytes-len(d.Body)+len(p.Body) > maxState {
		return &wire.ChangeResponse{Outcome: wire.OutcomeTooBig, Version: d.Version, Errors: []string{"the part holds as many bytes as it may"}}
	}
	s.bytes += len(p.Body) - len(d.Body)
	d = &wire.Document{Key: p.Key, Body: p.Body, Version: max(p.NewVersion, d.Version+1)}
	s.docs[p.Key] = d
	if p.Token != "" {
		s.tokens = append(s.tokens, &wire.ChangeToken{Token: p.Token, Key: p.Key, Version: d.Version, Digest: p.Digest})
		if len(s.tokens) > maxTokens {
			s.tokens = s.tokens[1:]
		}
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: d.Version}
}

// again answers a change whose token was seen before: the first outcome stands.
func (s *state) repeated(p *wire.Put) *wire.ChangeResponse {
	for _, t := range s.tokens {
		if p.Token == "" || t.Token != p.Token {
			continue
		}
		if t.Key != p.Key || string(t.Digest) != string(p.Digest) {
			return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"token " + p.Token + " was used for another change: give each change its own"}}
		}
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: t.Version, TokenReuse: "the change was made before"}
	}
	return nil
}

// sumOf is what makes two asks under one token the same ask.
func digestOf(p *wire.Put, patch bool) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d %v %v ", p.Key, p.IfVersion, p.AnyVersion, patch)
	h.Write(p.Body)
	return h.Sum(nil)
}

// grant gives, renews or takes back a lease. That the old one has run out was judged by
// the owner before it proposed (free); here only the fence decides.
func (s *state) grant(g *wire.Grant, now time.Duration) *wire.ChangeResponse {
	l := s.leases[g.Lease]
	if l == nil {
		if len(s.leases) >= maxLeases {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooBig, Errors: []string{"the part holds as many leases as it may"}}
		}
		l = &wire.Lease{Name: g.Lease}
	}
	if g.IfFence != l.Fence {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.Fence, Leader: l.Holder}
	}
	n := &wire.Lease{Name: g.Lease, Holder: g.Holder, Fence: l.Fence, TtlNs: g.TtlNs}
	if g.GiveUp {
		n.Holder = ""
	} else if l.Holder != g.Holder {
		n.Fence++
	}
	s.leases[g.Lease], s.grantedAt[g.Lease] = n, now
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: n.Fence, Leader: n.Holder}
}

// free tells whether a duty may be granted to a holder now. The holder counts its lease
// from when it asked, which was before any member saw the grant: so it stops first.
func (s *state) free(g *wire.Grant, now time.Duration) bool {
	l := s.leases[g.Lease]
	if g.GiveUp {
		return l != nil && l.Holder == g.Holder
	}
	if l == nil || l.Holder == "" || l.Holder == g.Holder {
		return true
	}
	ttl := time.Duration(l.TtlNs)
	return now-s.grantedAt[g.Lease] > ttl+time.Duration(float64(ttl)*settings.MarginPart)
}
