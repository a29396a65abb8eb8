package controlstate

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// defaultClaimRetention is how long the claims of at-most-once request IDs are kept if the settings do not set a
// time.
const defaultClaimRetention = 30 * time.Minute

// Limits of a shard's state. A change that would exceed the limit of documents, leases or bytes is rejected as too
// large. The limits affect the state that members compute from the log, so a release with different limits would
// compute a different state.
const (
	maxDocuments    = 512
	maxLeases       = 64
	maxRecentTokens = 256     // number of newest idempotency tokens kept over all documents, as in earlier releases
	maxStateBytes   = 8 << 20 // total size of all documents' bodies, in bytes
	maxClaims       = 1 << 16 // maximum number of request IDs claimed at one time; further claims are rejected
)

// stateFormat is the newest version of the encoded state that this release reads, and the one that it writes.
const stateFormat = 1

// state is the replicated state machine of a shard. Only apply changes it, in log order. All members compute the same
// state from the same log, except for grantedAt, which is local.
type state struct {
	documents     map[string]*wire.Document // documents of the shard, by key
	documentBytes int                       // total size of all documents' bodies, in bytes
	leases        map[string]*wire.Lease    // leases of the shard, by name
	grantedAt     map[string]time.Duration  // local time at which this member applied the last grant of a lease, by the lease's name
	claims        claimTable
	recentTokens  []*wire.ChangeToken            // newest idempotency tokens of changes of all documents, oldest first
	idempotency   map[string]*idempotencyRecords // idempotency records of each document, by document key
}

// newState returns the empty state of a shard.
func newState() *state {
	return &state{
		documents:   map[string]*wire.Document{},
		leases:      map[string]*wire.Lease{},
		grantedAt:   map[string]time.Duration{},
		claims:      newClaimTable(),
		idempotency: map[string]*idempotencyRecords{},
	}
}

// load replaces the shard's state by a decoded one. Leases count as granted at the time now of the load, which is
// later than their actual grant, so that they are never given to another holder too early.
func (s *state) load(encoded []byte, now time.Duration) error {
	saved := &wire.ShardState{}
	if err := proto.Unmarshal(encoded, saved); err != nil {
		return err
	}
	if saved.Format > stateFormat {
		return fmt.Errorf("encoded state has format %d but this release reads formats up to %d: run the release that wrote the state", saved.Format, stateFormat)
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

// save encodes the shard's state for a snapshot. Equal states have equal encodings.
func (s *state) save() ([]byte, error) {
	saved := &wire.ShardState{Format: stateFormat, Tokens: s.recentTokens, Claims: s.claims.save(), AgeNs: s.claims.age, Accepted: s.saveIdempotency()}
	for _, key := range maputil.SortedKeys(s.documents) {
		saved.Documents = append(saved.Documents, s.documents[key])
	}
	for _, name := range maputil.SortedKeys(s.leases) {
		saved.Leases = append(saved.Leases, s.leases[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(saved)
}

// apply carries out one committed command on the state and returns its outcome; now is the local time.
func (s *state) apply(command *wire.Command, now time.Duration) *wire.ChangeResponse {
	switch kind := command.GetKind().(type) {
	case *wire.Command_Put:
		return s.applyPut(kind.Put)
	case *wire.Command_Grant:
		return s.applyGrant(kind.Grant, now)
	case *wire.Command_Claims:
		return s.applyClaims(kind.Claims)
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone}
}

// applyPut applies a change of a document. It changes the state by the same rules as all earlier releases, so that
// members running different releases compute the same state from the same log.
func (s *state) applyPut(put *wire.Put) *wire.ChangeResponse {
	if s.isRecentToken(put.Token) {
		return s.respondToRetry(put)
	}
	if lease := s.leases[put.Lease]; put.Lease != "" && (lease == nil || lease.Fence != put.Fence || lease.Holder != put.Holder) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.GetFence(), Leader: lease.GetHolder()} // the lease required for the change has another holder or fencing token
	}
	document := s.documents[put.Key]
	if document == nil {
		if len(s.documents) >= maxDocuments {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{fmt.Sprintf("shard already holds the maximum of %d documents", maxDocuments)}}
		}
		document = &wire.Document{Key: put.Key}
	}
	if !put.AnyVersion && put.IfVersion != document.Version {
		return s.respondToStaleBase(put)
	}
	if put.NewVersion > 0 && put.NewVersion <= document.Version {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: document.Version}
	}
	if s.documentBytes-len(document.Body)+len(put.Body) > maxStateBytes {
		return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Version: document.Version, Errors: []string{fmt.Sprintf("change would exceed the maximum of %d bytes for all documents of the shard", maxStateBytes)}}
	}
	s.documentBytes += len(put.Body) - len(document.Body)
	changed := &wire.Document{Key: put.Key, Body: put.Body, Version: max(put.NewVersion, document.Version+1), TenantHistory: put.TenantHistory}
	s.documents[put.Key] = changed
	s.recordChange(put, changed.Version)
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: changed.Version}
}

// applyGrant grants, renews or releases a lease. Before the leader proposed the grant it checked that the previous
// lease had expired (isGrantable); here only the fencing token is compared.
func (s *state) applyGrant(grant *wire.Grant, now time.Duration) *wire.ChangeResponse {
	lease := s.leases[grant.Lease]
	if lease == nil {
		if len(s.leases) >= maxLeases {
			return &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{fmt.Sprintf("shard already holds the maximum of %d leases", maxLeases)}}
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

// isGrantable reports whether a lease may now be granted to a holder or released by it. A holder measures its lease
// from the time at which it sent the request, before any member saw the grant. It therefore stops using the lease
// before another holder can get it.
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

// applyClaims advances the shard's clock for claims, and claims or releases IDs of at-most-once requests.
func (s *state) applyClaims(claims *wire.Claims) *wire.ChangeResponse {
	response := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
	if claims.RetentionNs > 0 { // the retention is 0 if the claims were proposed by a release that recorded no elapsed time
		s.claims.advanceAge(claims.ElapsedNs, claims.RetentionNs)
	}
	for _, claim := range claims.Claims {
		granted, full := s.claims.claim(claim)
		response.Granted, response.Full = append(response.Granted, granted), append(response.Full, full)
	}
	return response
}
