package controlstate

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// mergedConfig is a configuration that was merged and validated before it is proposed.
type mergedConfig struct {
	baseVersion uint64 // the version it was merged onto
	body        []byte
	version     uint64 // what the document's version becomes; 0: the next one
	err         error
}

// configKey is the document that is merged and validated before it is proposed.
func (p *shard) configKey() string {
	if p.group != nil {
		return routingconfig.DocumentKey
	}
	return controlclient.ConfigKey
}

// mergeConfig applies a configuration, whole or partial, to the one in force, and validates the result.
func (p *shard) mergeConfig(old *wire.Document, put *wire.Put, patch bool) *mergedConfig {
	m := &mergedConfig{baseVersion: old.GetVersion()}
	if p.group != nil {
		p.mergeRoutingConfig(m, old, put, patch)
		return m
	}
	if patch {
		m.body, m.err = serviceconfig.Merge(old.GetBody(), put.Body)
	} else {
		m.body, m.err = serviceconfig.Merge(nil, put.Body)
	}
	if m.err == nil {
		m.err = serviceconfig.CheckSuccessor(old.GetBody(), m.body)
	}
	return m
}

// mergeBeforeProposal merges and validates a configuration on the caller's goroutine, one at a time: a large
// one takes long, and the shard's goroutine has heartbeats to send. Nil: there is nothing to merge.
// The caller calls release once its change is done; not ok: it never began.
func (p *shard) mergeBeforeProposal(ctx context.Context, request *wire.ChangeRequest) (m *mergedConfig, release func(), ok bool) {
	put := request.Command.GetPut()
	if put.GetKey() != p.configKey() {
		return nil, func() {}, true
	}
	select {
	case p.mergeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false
	case <-p.ctx.Done():
		return nil, nil, false
	}
	release = func() { <-p.mergeLock }
	var old *wire.Document
	useful := false // else propose answers at once
	if !p.runOnLoop(ctx, func() {
		old = p.state.documents[put.Key]
		useful = p.failure == nil && p.core.Status().IsLeader && (put.AnyVersion || put.IfVersion == old.GetVersion())
	}) {
		release()
		return nil, nil, false
	}
	if useful {
		m = p.mergeConfig(old, put, request.Patch)
	}
	return m, release, true
}

// change proposes a command where this member is the leader, and waits for its outcome.
//
// A refusal has to hold for good, and for every copy of the change: a change that was taken is never
// refused when it is sent again. What the log answers is final. What is answered without it, from the
// applied state, is judged again once a quorum has confirmed that this member is still the leader and
// has applied all that was acknowledged before: a leader of the past, or one whose log holds the first
// copy unapplied, would refuse what another leader took.
func (p *shard) change(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if response := p.confirmBeforeMerge(ctx, request); response != nil {
		return response
	}
	m, release, ok := p.mergeBeforeProposal(ctx, request)
	if !ok {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // it never began
	}
	defer release()
	response, committed := p.proposeAndWait(ctx, request, m)
	if committed || request.Command.GetPut() == nil || !isDecidedByState(response.Outcome) {
		return response
	}
	if response := p.confirmAppliedState(ctx, request); response != nil {
		return response
	}
	response, _ = p.proposeAndWait(ctx, request, m)
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

// confirmAppliedState returns nil once a quorum has confirmed that this member is the leader and its applied
// state holds all that was acknowledged before the call; otherwise the answer to a change that never began.
func (p *shard) confirmAppliedState(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	ctx, end := p.confirmContext(ctx, len(request.Command.GetPut().GetBody()))
	defer end()
	switch read := p.read(ctx, &wire.ReadRequest{}); read.Outcome {
	case wire.OutcomeDone:
		return nil
	case wire.OutcomeNotLeader:
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: read.Leader}
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
}

// proposeAndWait proposes a command and waits for its outcome; committed tells that it is the log's.
func (p *shard) proposeAndWait(ctx context.Context, request *wire.ChangeRequest, m *mergedConfig) (_ *wire.ChangeResponse, committed bool) {
	// Of these two nothing is read once do has failed: the shard's goroutine may still write them.
	var pending pendingProposal
	var response *wire.ChangeResponse
	if !p.runOnLoop(ctx, func() { pending, response = p.propose(request, m) }) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}, false
	}
	if response != nil {
		return response, false
	}
	select {
	case response = <-pending.response:
		return response, true
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}, false
}

// maxPendingProposals is how many changes a leader has under way at once.
const maxPendingProposals = 256

// propose appends a command to the log, where this member is the leader; otherwise, or where it needs
// no log, it answers at once.
func (p *shard) propose(request *wire.ChangeRequest, m *mergedConfig) (pendingProposal, *wire.ChangeResponse) {
	status := p.core.Status()
	if p.failure != nil || !status.IsLeader {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: status.Leader}
	}
	command := proto.Clone(request.Command).(*wire.Command)
	if response := p.prepare(command, request, m); response != nil {
		return pendingProposal{}, response
	}
	body, err := proto.Marshal(command)
	if err != nil || len(body) > serviceconfig.MaxBytes*2 {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeTooLarge, Errors: []string{"command can't be written"}}
	}
	if len(p.pendingProposals) >= maxPendingProposals {
		return pendingProposal{}, &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	index, term, _ := p.core.Propose(body) // it is the leader, so it takes it
	pending := pendingProposal{term, make(chan *wire.ChangeResponse, 1)}
	p.pendingProposals[index] = pending
	return pending, nil
}

// prepare checks a command against the applied state, and merges and validates configurations. Nil
// means: propose it.
func (p *shard) prepare(command *wire.Command, request *wire.ChangeRequest, m *mergedConfig) *wire.ChangeResponse {
	if grant := command.GetGrant(); grant != nil {
		return p.prepareGrant(grant)
	}
	if c := command.GetClaims(); c != nil && len(c.Claims) > 0 && len(c.Claims) <= 1024 {
		c.ElapsedNs, c.RetentionNs = uint64(p.elapsedInTerm(p.core.Status().Term)), uint64(p.claimRetention)
		return nil
	}
	put := command.GetPut()
	if put == nil || put.Key == "" || len(put.Key) > 256 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"no command: give a put or a grant"}}
	}
	put.Digest, put.ContentDigest = requestDigest(put, request.Patch), contentDigest(put, request.Patch)
	if response := p.state.answerRepeated(put); response != nil {
		return response
	}
	old := p.state.documents[put.Key]
	if !put.AnyVersion && put.IfVersion != old.GetVersion() {
		if put.IfVersion > old.GetVersion() && len(p.core.UnappliedEntries()) > 0 {
			return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // its base, and its first copy, may be under way
		}
		return p.state.answerStaleBase(put)
	}
	if put.Key == p.configKey() {
		if response := p.prepareConfig(put, request, m); response != nil {
			return response
		}
	}
	if err := p.validateDocument(put); err != nil {
		return &wire.ChangeResponse{Outcome: errs.KindOf(err).Name, Version: old.GetVersion(), Errors: []string{err.Error()}}
	}
	if request.DryRun {
		return &wire.ChangeResponse{Outcome: wire.OutcomeValid, Version: old.GetVersion()}
	}
	return nil
}

// prepareGrant decides whether a lease may be granted now.
func (p *shard) prepareGrant(grant *wire.Grant) *wire.ChangeResponse {
	// A new leader knows who holds a lease once it has applied what the terms before it granted.
	if !p.core.HasAppliedCurrentTerm() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	// While a grant may be under way nobody else gets the lease.
	l := p.state.leases[grant.Lease]
	if l != nil && l.Holder != grant.Holder && len(p.core.UnappliedEntries()) > 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	if !p.state.isGrantable(grant, p.clock.Now()) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.GetFence(), Leader: l.GetHolder()}
	}
	return nil
}

// prepareConfig puts the merged configuration in place of what was sent.
func (p *shard) prepareConfig(put *wire.Put, request *wire.ChangeRequest, m *mergedConfig) *wire.ChangeResponse {
	old := p.state.documents[put.Key]
	if m == nil || m.baseVersion != old.GetVersion() { // it wasn't merged ahead, or another change came between
		m = p.mergeConfig(old, put, request.Patch)
	}
	if m.err != nil {
		return &wire.ChangeResponse{Outcome: errs.KindOf(m.err).Name, Version: old.GetVersion(), Errors: []string{m.err.Error()}}
	}
	if put.AnyVersion && len(p.core.UnappliedEntries()) > 0 { // it was validated against what another change may replace
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	put.NewVersion = m.version
	if put.Body = m.body; request.Patch && put.AnyVersion { // it was merged onto this version, so it holds for this one alone
		put.AnyVersion, put.IfVersion = false, old.GetVersion()
	}
	return nil
}

// validateDocument checks a calendar entry or a retirement against the others; any other document passes.
func (p *shard) validateDocument(put *wire.Put) error {
	switch {
	case strings.HasPrefix(put.Key, "calendar/"):
		return p.validateCalendarEntry(put)
	case strings.HasPrefix(put.Key, "retire/"):
		return p.validateRetirement(put)
	}
	return nil
}
