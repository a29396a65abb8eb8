// Package controlstate is the control node: a member of the shards, or of the one group, that keep
// the control state on the disks of a quorum.
package controlstate

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// defaultClaimRetention is how long once-only ids are remembered where the settings say nothing.
const defaultClaimRetention = 30 * time.Minute

// Bounds of one shard's state.
const (
	maxDocuments    = 512
	maxLeases       = 64
	maxRecentTokens = 256 // the newest changes of all documents, as earlier releases keep them
	maxStateBytes   = 8 << 20
	maxClaims       = 1 << 16 // once-only ids of a shard; more than this at once are rejected, not forgotten
)

// state is what a shard's log adds up to. It is changed by apply alone, in log order, and
// every member gets the same from the same log.
type state struct {
	documents     map[string]*wire.Document
	leases        map[string]*wire.Lease
	recentTokens  []*wire.ChangeToken            // the newest of all documents
	idempotency   map[string]*idempotencyRecords // by document
	grantedAt     map[string]time.Duration       // when this member saw the lease granted; not in the log
	claims        claimTable
	documentBytes int
}

func newState() *state {
	return &state{documents: map[string]*wire.Document{}, leases: map[string]*wire.Lease{}, idempotency: map[string]*idempotencyRecords{}, grantedAt: map[string]time.Duration{}, claims: newClaimTable()}
}

func (s *state) load(b []byte, now time.Duration) error {
	p := &wire.ShardState{}
	if err := proto.Unmarshal(b, p); err != nil {
		return err
	}
	if p.Format > 1 {
		return fmt.Errorf("state of format %d: this program reads format 1: start the newer program", p.Format)
	}
	*s = *newState()
	for _, d := range p.Documents {
		s.documents[d.Key] = d
		s.documentBytes += len(d.Body)
	}
	for _, l := range p.Leases {
		s.leases[l.Name], s.grantedAt[l.Name] = l, now
	}
	s.recentTokens = p.Tokens
	s.loadIdempotency(p.Accepted)
	s.claims.load(p.Claims, p.AgeNs)
	return nil
}

func (s *state) save() ([]byte, error) {
	p := &wire.ShardState{Format: 1, Tokens: s.recentTokens, Claims: s.claims.save(), AgeNs: s.claims.age, Accepted: s.saveIdempotency()}
	for _, k := range queue.Keys(s.documents) {
		p.Documents = append(p.Documents, s.documents[k])
	}
	for _, k := range queue.Keys(s.leases) {
		p.Leases = append(p.Leases, s.leases[k])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(p)
}

// apply carries out one committed command and returns its outcome.
func (s *state) apply(c *wire.Command, now time.Duration) *wire.ChangeResponse {
	switch k := c.GetKind().(type) {
	case *wire.Command_Put:
		return s.applyPut(k.Put)
	case *wire.Command_Grant:
		return s.applyGrant(k.Grant, now)
	case *wire.Command_Claims:
		response := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
		if k.Claims.RetentionNs > 0 { // zero: of a release that sent no age
			s.claims.advanceAge(k.Claims.ElapsedNs, k.Claims.RetentionNs)
		}
		for _, c := range k.Claims.Claims {
			granted, full := s.claims.claim(c)
			response.Granted, response.Full = append(response.Granted, granted), append(response.Full, full)
		}
		return response
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone}
}

// applyPut applies a change of a document. Whether it changes the state is decided as in all releases
// before, so that members of several releases make the same state of one log.
func (s *state) applyPut(put *wire.Put) *wire.ChangeResponse {
	if s.isRecentToken(put.Token) {
		return s.answerRepeated(put)
	}
	if l := s.leases[put.Lease]; put.Lease != "" && (l == nil || l.Fence != put.Fence || l.Holder != put.Holder) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.GetFence(), Leader: l.GetHolder()} // the lease has passed on
	}
	d := s.documents[put.Key]
	if d == nil {
		if len(s.documents) >= maxDocuments {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"the shard holds as many documents as it may"}}
		}
		d = &wire.Document{Key: put.Key}
	}
	if !put.AnyVersion && put.IfVersion != d.Version {
		return s.answerStaleBase(put)
	}
	if put.NewVersion > 0 && put.NewVersion <= d.Version {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: d.Version}
	}
	if s.documentBytes-len(d.Body)+len(put.Body) > maxStateBytes {
		return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Version: d.Version, Errors: []string{"the shard holds as many bytes as it may"}}
	}
	s.documentBytes += len(put.Body) - len(d.Body)
	d = &wire.Document{Key: put.Key, Body: put.Body, Version: max(put.NewVersion, d.Version+1)}
	s.documents[put.Key] = d
	s.recordChange(put, d.Version)
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: d.Version}
}

// applyGrant gives, renews or takes back a lease. That the old one has run out was judged by
// the leader before it proposed (free); here only the fence decides.
func (s *state) applyGrant(g *wire.Grant, now time.Duration) *wire.ChangeResponse {
	l := s.leases[g.Lease]
	if l == nil {
		if len(s.leases) >= maxLeases {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"the shard holds as many leases as it may"}}
		}
		l = &wire.Lease{Name: g.Lease}
	}
	if g.IfFence != l.Fence {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.Fence, Leader: l.Holder}
	}
	n := &wire.Lease{Name: g.Lease, Holder: g.Holder, Fence: l.Fence, TtlNs: g.TtlNs}
	if g.Release {
		n.Holder = ""
	} else if l.Holder != g.Holder {
		n.Fence++
	}
	s.leases[g.Lease], s.grantedAt[g.Lease] = n, now
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: n.Fence, Leader: n.Holder}
}

// isGrantable tells whether a lease may be granted to a holder now. The holder counts its lease
// from when it asked, which was before any member saw the grant: so it stops first.
func (s *state) isGrantable(g *wire.Grant, now time.Duration) bool {
	l := s.leases[g.Lease]
	if g.Release {
		return l != nil && l.Holder == g.Holder
	}
	if l == nil || l.Holder == "" || l.Holder == g.Holder {
		return true
	}
	ttl := time.Duration(l.TtlNs)
	return now-s.grantedAt[g.Lease] > ttl+time.Duration(float64(ttl)*settings.LeaseMarginRatio)
}
