package controlstate

import (
	"context"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// change proposes a command where this member is the leader, and waits for its outcome.
//
// A refusal has to hold for good, and for every copy of the change: a change that was taken is never
// refused when it is sent again. What the log answers is final. What is answered without it, from the
// applied state, is judged again once a quorum has confirmed that this member is still the leader and
// has applied all that was acknowledged before: a leader of the past, or one whose log holds the first
// copy unapplied, would refuse what another leader took.
func (s *shard) change(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if response := s.confirmBeforeMerge(ctx, request); response != nil {
		return response
	}
	config, release, began := s.mergeBeforeProposal(ctx, request)
	if !began {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // it never began
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

// isDecidedByState tells whether an outcome ends a change for good, or says of a dry run what would
// come of it: both are judged by the applied state.
func isDecidedByState(outcome wire.Outcome) bool {
	switch outcome {
	case wire.OutcomeDone, wire.OutcomeNotLeader, wire.OutcomeOverloaded, wire.OutcomeUnknown:
		return false
	}
	return true
}

// proposeAndWait proposes a command and waits for its outcome; committed tells that it is the log's.
func (s *shard) proposeAndWait(ctx context.Context, request *wire.ChangeRequest, config *mergedConfig) (_ *wire.ChangeResponse, committed bool) {
	// Of these two nothing is read once do has failed: the shard's goroutine may still write them.
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

// maxPendingProposals is how many changes a leader has under way at once.
const maxPendingProposals = 256

// propose appends a command to the log, where this member is the leader; otherwise, or where it needs
// no log, it answers at once.
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
	if err != nil || len(body) > serviceconfig.MaxBytes*2 {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"command can't be written"}}
	}
	if len(s.pendingProposals) >= maxPendingProposals {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	index, term, _ := s.core.Propose(body) // it is the leader, so it takes it
	proposal := pendingProposal{term, make(chan *wire.ChangeResponse, 1)}
	s.pendingProposals[index] = proposal
	return proposal, nil
}

// prepare checks a command against the applied state, and merges and validates configurations. Nil
// means: propose it.
func (s *shard) prepare(command *wire.Command, request *wire.ChangeRequest, config *mergedConfig) *wire.ChangeResponse {
	if grant := command.GetGrant(); grant != nil {
		return s.prepareGrant(grant)
	}
	if claims := command.GetClaims(); claims != nil && len(claims.Claims) > 0 && len(claims.Claims) <= 1024 {
		claims.ElapsedNs, claims.RetentionNs = uint64(s.elapsedInTerm(s.core.Status().Term)), uint64(s.claimRetention)
		return nil
	}
	put := command.GetPut()
	if put == nil || put.Key == "" || len(put.Key) > 256 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"no command: give a put or a grant"}}
	}
	put.Digest, put.ContentDigest = requestDigest(put, request.Patch), contentDigest(put, request.Patch)
	if response := s.state.answerRepeated(put); response != nil {
		return response
	}
	old := s.state.documents[put.Key]
	if !put.AnyVersion && put.IfVersion != old.GetVersion() {
		if put.IfVersion > old.GetVersion() && len(s.core.UnappliedEntries()) > 0 {
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // its base, and its first copy, may be under way
		}
		return s.state.answerStaleBase(put)
	}
	if put.Key == s.configKey() {
		if response := s.prepareConfig(put, request, config); response != nil {
			return response
		}
	}
	if err := s.validateDocument(put); err != nil {
		return &wire.ChangeResponse{Outcome: errs.KindOf(err).Name, Version: old.GetVersion(), Errors: []string{err.Error()}}
	}
	if request.DryRun {
		return &wire.ChangeResponse{Outcome: wire.OutcomeValid, Version: old.GetVersion()}
	}
	return nil
}

// prepareGrant decides whether a lease may be granted now.
func (s *shard) prepareGrant(grant *wire.Grant) *wire.ChangeResponse {
	// A new leader knows who holds a lease once it has applied what the terms before it granted.
	if !s.core.HasAppliedCurrentTerm() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	// While a grant may be under way nobody else gets the lease.
	lease := s.state.leases[grant.Lease]
	if lease != nil && lease.Holder != grant.Holder && len(s.core.UnappliedEntries()) > 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	if !s.state.isGrantable(grant, s.clock.Now()) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.GetFence(), Leader: lease.GetHolder()}
	}
	return nil
}

// releasePendingProposals ends the wait of those whose change isn't committed when this member stops leading:
// the next leader may commit it or not. They are free to ask there, with time left.
func (s *shard) releasePendingProposals() {
	if len(s.pendingProposals) == 0 || s.core.Status().IsLeader {
		return
	}
	for index, proposal := range s.pendingProposals {
		proposal.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(s.pendingProposals, index)
	}
}

type pendingProposal struct {
	term     uint64
	response chan *wire.ChangeResponse
}
