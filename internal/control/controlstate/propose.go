package controlstate

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Limits of the commands that a leader proposes for its shard.
const (
	maxPendingProposals = 256                        // maximum number of proposals that wait on one leader; further ones are rejected as overloaded
	maxCommandBytes     = serviceconfig.MaxBytes * 2 // maximum size of an encoded command, in bytes
	maxClaimsPerCommand = 1024                       // maximum number of claims of at-most-once request IDs in one command
	maxKeyBytes         = 256                        // maximum length of a document's key, in bytes
)

// pendingProposal is a proposed log entry whose caller waits until the entry at its log index is applied. If the
// applied entry has another term, the proposed one was overwritten by another leader.
type pendingProposal struct {
	term     uint64
	response chan *wire.ChangeResponse // receives the outcome of the proposal; buffered, so that the shard's goroutine never blocks on a caller
}

// change proposes a command if this member is the leader, and waits for its outcome.
//
// A rejection has to be final, also for retries: a change that was accepted once must never be rejected when it
// is sent again. The outcome of a committed entry is final. An outcome that was decided from the applied state,
// without the log, is decided again after a quorum has confirmed that this member is still the leader and has
// applied all acknowledged changes. Otherwise a deposed leader, or one whose log contains an earlier attempt
// that is not yet applied, could reject a change that was accepted.
func (s *shard) change(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if response := s.confirmBeforeMerge(ctx, request); response != nil {
		return response
	}
	config, release, ok := s.mergeBeforeProposal(ctx, request)
	if !ok {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // the command was not proposed, so the caller may retry it
	}
	defer release()
	response, committed := s.proposeAndWait(ctx, request, config)
	if committed || request.Command.GetPut() == nil || !isDecidedByState(response.Outcome) {
		return response
	}
	if response := s.confirmAppliedState(ctx, request); response != nil {
		return response
	}
	response, _ = s.proposeAndWait(ctx, request, config)
	return response
}

// isDecidedByState reports whether the outcome of a command that was not committed is a decision based on the
// applied state, that is, a rejection or the result of a dry run.
func isDecidedByState(outcome wire.Outcome) bool {
	switch outcome {
	case wire.OutcomeDone, wire.OutcomeNotLeader, wire.OutcomeOverloaded, wire.OutcomeUnknown:
		return false
	}
	return true
}

// proposeAndWait proposes a command and waits for its outcome. committed reports whether the outcome was delivered
// for the proposed log entry, either once the entry at its index was applied or, as OutcomeUnknown, after this
// member lost the leadership.
func (s *shard) proposeAndWait(ctx context.Context, request *wire.ChangeRequest, config *mergedConfig) (_ *wire.ChangeResponse, committed bool) {
	// proposal and response must not be read after runOnLoop has returned false: the command may still run and write them.
	var proposal pendingProposal
	var response *wire.ChangeResponse
	if !s.runOnLoop(ctx, func() { proposal, response = s.propose(request, config) }) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}, false
	}
	if response != nil {
		return response, false
	}
	select {
	case response = <-proposal.response:
		return response, true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}, false
}

// propose appends a command to the log if this member is the leader of the shard. It returns a response instead if
// this member is not the leader, cannot accept the command, or can decide its outcome without the log.
func (s *shard) propose(request *wire.ChangeRequest, config *mergedConfig) (pendingProposal, *wire.ChangeResponse) {
	status := s.core.Status()
	if s.failure != nil || !status.IsLeader {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: status.Leader}
	}
	command := proto.Clone(request.Command).(*wire.Command)
	if response := s.prepare(command, request, config); response != nil {
		return pendingProposal{}, response
	}
	body, err := proto.Marshal(command)
	if err != nil || len(body) > maxCommandBytes {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{fmt.Sprintf("command cannot be encoded within the maximum size of %d bytes", maxCommandBytes)}}
	}
	if len(s.pendingProposals) >= maxPendingProposals {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	index, term, _ := s.core.Propose(body) // Propose always succeeds on the leader, which this member is
	proposal := pendingProposal{term, make(chan *wire.ChangeResponse, 1)}
	s.pendingProposals[index] = proposal
	return proposal, nil
}

// prepare checks a command against the applied state and completes it: it fills in the merged configuration or,
// for claims of at-most-once request IDs, the elapsed time and the retention. It returns nil if the command should
// be proposed, and the response to it otherwise.
func (s *shard) prepare(command *wire.Command, request *wire.ChangeRequest, config *mergedConfig) *wire.ChangeResponse {
	if grant := command.GetGrant(); grant != nil {
		return s.prepareGrant(grant)
	}
	if claims := command.GetClaims(); claims != nil && len(claims.Claims) > 0 && len(claims.Claims) <= maxClaimsPerCommand {
		claims.ElapsedNs, claims.RetentionNs = uint64(s.elapsedInTerm(s.core.Status().Term)), uint64(s.claimRetention)
		return nil
	}
	put := command.GetPut()
	if put == nil || put.Key == "" || len(put.Key) > maxKeyBytes {
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{fmt.Sprintf("request must contain a lease grant, 1 to %d claims of at-most-once request IDs, or a put of a document with a key of 1 to %d bytes", maxClaimsPerCommand, maxKeyBytes)}}
	}
	return s.preparePut(put, request, config)
}

// preparePut checks a change of a document before it is proposed, and acknowledges it again if it was accepted
// before. It returns nil if the change should be proposed, and the response to it otherwise.
func (s *shard) preparePut(put *wire.Put, request *wire.ChangeRequest, config *mergedConfig) *wire.ChangeResponse {
	put.Digest, put.ContentDigest = requestDigest(put, request.Patch), contentDigest(put, request.Patch)
	if response := s.state.respondToRetry(put); response != nil {
		return response
	}
	put.TenantHistory = nil // only the leader computes it, see prepareConfig
	old := s.state.documents[put.Key]
	if !put.AnyVersion && put.IfVersion != old.GetVersion() {
		if put.IfVersion > old.GetVersion() && len(s.core.UnappliedEntries()) > 0 {
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // an unapplied log entry may produce the change's base version, or be an earlier attempt of the change
		}
		return s.state.respondToStaleBase(put)
	}
	if put.Key == s.configKey() {
		if response := s.prepareConfig(put, request, config); response != nil {
			return response
		}
	}
	if err := s.validateDocument(put); err != nil {
		return rejection(err, old.GetVersion())
	}
	if request.DryRun {
		return &wire.ChangeResponse{Outcome: wire.OutcomeValid, Version: old.GetVersion()}
	}
	return nil
}

// rejection returns the response to a change that failed validation; version is the current version of the
// change's document.
func rejection(err error, version uint64) *wire.ChangeResponse {
	return &wire.ChangeResponse{Outcome: errs.KindOf(err).Name, Version: version, Errors: []string{err.Error()}}
}

// prepareGrant checks whether a lease may be granted, renewed or released now. It returns nil if the command should be
// proposed, and the response to it otherwise.
func (s *shard) prepareGrant(grant *wire.Grant) *wire.ChangeResponse {
	// This leader may not know all lease holders until it has applied the grants of earlier terms.
	if !s.core.HasAppliedCurrentTerm() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	// An unapplied log entry may grant or renew the lease, so no other holder may get it now.
	lease := s.state.leases[grant.Lease]
	if lease != nil && lease.Holder != grant.Holder && len(s.core.UnappliedEntries()) > 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	if !s.state.isGrantable(grant, s.clock.Now()) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.GetFence(), Leader: lease.GetHolder()}
	}
	return nil
}

// releasePendingProposals completes all pending proposals with an unknown outcome once this member is no longer
// the leader, since the next leader may or may not commit their entries. Their callers then have time left to ask
// the next leader.
func (s *shard) releasePendingProposals() {
	if len(s.pendingProposals) == 0 || s.core.Status().IsLeader {
		return
	}
	s.abandonProposals()
}

// abandonProposals completes all pending proposals of this member with an unknown outcome.
func (s *shard) abandonProposals() {
	for index, proposal := range s.pendingProposals {
		proposal.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(s.pendingProposals, index)
	}
}
