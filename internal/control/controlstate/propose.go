package controlstate

import (
	"context"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Bounds of proposals.
const (
	maxPendingProposals = 256                        // of one leader; more are rejected as overloaded
	maxCommandBytes     = serviceconfig.MaxBytes * 2 // of an encoded command
	maxClaimsPerCommand = 1024
	maxKeyBytes         = 256 // of a document's key
)

// pendingProposal waits for the entry that was proposed at its log index. If an entry of another term
// is applied there, the proposal was overwritten.
type pendingProposal struct {
	term     uint64
	response chan *wire.ChangeResponse // buffered: the shard's goroutine never waits for a caller
}

// change proposes a command if this member is the leader, and waits for its outcome.
//
// A rejection has to hold for good, and for every copy of the change: a change that was accepted is
// never rejected when it is sent again. The outcome of a committed entry is final. An outcome decided
// without the log, from the applied state, is decided once more after a quorum has confirmed that this
// member is still the leader and has applied all that was acknowledged before: a deposed leader, or one
// whose log holds the first copy unapplied, would otherwise reject what another leader accepted.
func (s *shard) change(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if response := s.confirmBeforeMerge(ctx, request); response != nil {
		return response
	}
	config, release, ok := s.mergeBeforeProposal(ctx, request)
	if !ok {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // nothing was proposed
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

// isDecidedByState reports whether an outcome that didn't come from the log was decided from the
// applied state: a final rejection, or the result of a dry run.
func isDecidedByState(outcome wire.Outcome) bool {
	switch outcome {
	case wire.OutcomeDone, wire.OutcomeNotLeader, wire.OutcomeOverloaded, wire.OutcomeUnknown:
		return false
	}
	return true
}

// proposeAndWait proposes a command and waits for its outcome. committed reports whether the outcome
// is that of a committed entry.
func (s *shard) proposeAndWait(ctx context.Context, request *wire.ChangeRequest, config *mergedConfig) (_ *wire.ChangeResponse, committed bool) {
	// Neither may be read after runOnLoop returned false: the command may still run and write them.
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

// propose appends a command to the log if this member is the leader. It returns a response instead if
// it isn't, or if the command's outcome can be decided without the log.
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
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"command can't be written"}}
	}
	if len(s.pendingProposals) >= maxPendingProposals {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	index, term, _ := s.core.Propose(body) // a leader accepts every proposal
	proposal := pendingProposal{term, make(chan *wire.ChangeResponse, 1)}
	s.pendingProposals[index] = proposal
	return proposal, nil
}

// prepare checks a command against the applied state and completes it: with the merged configuration,
// or with the shard's age. It returns nil if the command is to be proposed.
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
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"no command: give a put or a grant"}}
	}
	return s.preparePut(put, request, config)
}

// preparePut checks a change of a document. A change that was accepted before is acknowledged again.
func (s *shard) preparePut(put *wire.Put, request *wire.ChangeRequest, config *mergedConfig) *wire.ChangeResponse {
	put.Digest, put.ContentDigest = requestDigest(put, request.Patch), contentDigest(put, request.Patch)
	if response := s.state.respondToRetry(put); response != nil {
		return response
	}
	old := s.state.documents[put.Key]
	if !put.AnyVersion && put.IfVersion != old.GetVersion() {
		if put.IfVersion > old.GetVersion() && len(s.core.UnappliedEntries()) > 0 {
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // its base, or its first copy, may be in flight
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

// rejection is the response to a change that an error rules out at a version of its document.
func rejection(err error, version uint64) *wire.ChangeResponse {
	return &wire.ChangeResponse{Outcome: errs.KindOf(err).Name, Version: version, Errors: []string{err.Error()}}
}

// prepareGrant decides whether a lease may be granted, renewed or released now.
func (s *shard) prepareGrant(grant *wire.Grant) *wire.ChangeResponse {
	// A new leader knows every holder only after it has applied the grants of earlier terms.
	if !s.core.HasAppliedCurrentTerm() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	// While a grant may be in flight nobody else gets the lease.
	lease := s.state.leases[grant.Lease]
	if lease != nil && lease.Holder != grant.Holder && len(s.core.UnappliedEntries()) > 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	if !s.state.isGrantable(grant, s.clock.Now()) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.GetFence(), Leader: lease.GetHolder()}
	}
	return nil
}

// releasePendingProposals ends the wait of all proposals once this member has stopped leading: the next
// leader may commit their entries or not. Their callers have time left to ask it.
func (s *shard) releasePendingProposals() {
	if len(s.pendingProposals) == 0 || s.core.Status().IsLeader {
		return
	}
	s.abandonProposals()
}

// abandonProposals ends all pending proposals with an unknown outcome.
func (s *shard) abandonProposals() {
	for index, proposal := range s.pendingProposals {
		proposal.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(s.pendingProposals, index)
	}
}
