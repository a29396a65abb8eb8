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

func (s *state) load(encoded []byte, now time.Duration) error {
	saved := &wire.ShardState{}
	if err := proto.Unmarshal(encoded, saved); err != nil {
		return err
	}
	if saved.Format > 1 {
		return fmt.Errorf("state of format %d: this program reads format 1: start the newer program", saved.Format)
	}
	*s = *newState()
	for _, document := range saved.Documents {
		s.documents[document.Key] = document
		s.documentBytes += len(document.Body)
	}
	for _, lease := range saved.Leases {
		s.leases[lease.Name], s.grantedAt[lease.Name] = lease, now
	}
	s.recentTokens = saved.Tokens
	s.loadIdempotency(saved.Accepted)
	s.claims.load(saved.Claims, saved.AgeNs)
	return nil
}

func (s *state) save() ([]byte, error) {
	saved := &wire.ShardState{Format: 1, Tokens: s.recentTokens, Claims: s.claims.save(), AgeNs: s.claims.age, Accepted: s.saveIdempotency()}
	for _, key := range queue.Keys(s.documents) {
		saved.Documents = append(saved.Documents, s.documents[key])
	}
	for _, key := range queue.Keys(s.leases) {
		saved.Leases = append(saved.Leases, s.leases[key])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(saved)
}

// apply carries out one committed command and returns its outcome.
func (s *state) apply(command *wire.Command, now time.Duration) *wire.ChangeResponse {
	switch k := command.GetKind().(type) {
	case *wire.Command_Put:
		return s.applyPut(k.Put)
	case *wire.Command_Grant:
		return s.applyGrant(k.Grant, now)
	case *wire.Command_Claims:
		response := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
		if k.Claims.RetentionNs > 0 { // zero: of a release that sent no age
			s.claims.advanceAge(k.Claims.ElapsedNs, k.Claims.RetentionNs)
		}
		for _, command := range k.Claims.Claims {
			granted, full := s.claims.claim(command)
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
	if lease := s.leases[put.Lease]; put.Lease != "" && (lease == nil || lease.Fence != put.Fence || lease.Holder != put.Holder) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.GetFence(), Leader: lease.GetHolder()} // the lease has passed on
	}
	document := s.documents[put.Key]
	if document == nil {
		if len(s.documents) >= maxDocuments {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"the shard holds as many documents as it may"}}
		}
		document = &wire.Document{Key: put.Key}
	}
	if !put.AnyVersion && put.IfVersion != document.Version {
		return s.answerStaleBase(put)
	}
	if put.NewVersion > 0 && put.NewVersion <= document.Version {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: document.Version}
	}
	if s.documentBytes-len(document.Body)+len(put.Body) > maxStateBytes {
		return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Version: document.Version, Errors: []string{"the shard holds as many bytes as it may"}}
	}
	s.documentBytes += len(put.Body) - len(document.Body)
	document = &wire.Document{Key: put.Key, Body: put.Body, Version: max(put.NewVersion, document.Version+1)}
	s.documents[put.Key] = document
	s.recordChange(put, document.Version)
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: document.Version}
}

// applyGrant gives, renews or takes back a lease. That the old one has run out was judged by
// the leader before it proposed (free); here only the fence decides.
func (s *state) applyGrant(grant *wire.Grant, now time.Duration) *wire.ChangeResponse {
	lease := s.leases[grant.Lease]
	if lease == nil {
		if len(s.leases) >= maxLeases {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"the shard holds as many leases as it may"}}
		}
		lease = &wire.Lease{Name: grant.Lease}
	}
	if grant.IfFence != lease.Fence {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.Fence, Leader: lease.Holder}
	}
	granted := &wire.Lease{Name: grant.Lease, Holder: grant.Holder, Fence: lease.Fence, TtlNs: grant.TtlNs}
	if grant.Release {
		granted.Holder = ""
	} else if lease.Holder != grant.Holder {
		granted.Fence++
	}
	s.leases[grant.Lease], s.grantedAt[grant.Lease] = granted, now
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: granted.Fence, Leader: granted.Holder}
}

// isGrantable tells whether a lease may be granted to a holder now. The holder counts its lease
// from when it asked, which was before any member saw the grant: so it stops first.
func (s *state) isGrantable(grant *wire.Grant, now time.Duration) bool {
	lease := s.leases[grant.Lease]
	if grant.Release {
		return lease != nil && lease.Holder == grant.Holder
	}
	if lease == nil || lease.Holder == "" || lease.Holder == grant.Holder {
		return true
	}
	ttl := time.Duration(lease.TtlNs)
	return now-s.grantedAt[grant.Lease] > ttl+time.Duration(float64(ttl)*settings.LeaseMarginRatio)
}
