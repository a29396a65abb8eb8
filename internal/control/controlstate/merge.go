package controlstate

import (
	"context"

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
func (s *shard) configKey() string {
	if s.group != nil {
		return routingconfig.DocumentKey
	}
	return controlclient.ConfigKey
}

// mergeConfig applies a configuration, whole or partial, to the one in force, and validates the result.
func (s *shard) mergeConfig(old *wire.Document, put *wire.Put, patch bool) *mergedConfig {
	result := &mergedConfig{baseVersion: old.GetVersion()}
	if s.group != nil {
		s.mergeRoutingConfig(result, old, put, patch)
		return result
	}
	if patch {
		result.body, result.err = serviceconfig.Merge(old.GetBody(), put.Body)
	} else {
		result.body, result.err = serviceconfig.Merge(nil, put.Body)
	}
	if result.err == nil {
		result.err = serviceconfig.CheckSuccessor(old.GetBody(), result.body)
	}
	return result
}

// mergeBeforeProposal merges and validates a configuration on the caller's goroutine, one at a time: a large
// one takes long, and the shard's goroutine has heartbeats to send. Nil: there is nothing to merge.
// The caller calls release once its change is done; not ok: it never began.
func (s *shard) mergeBeforeProposal(ctx context.Context, request *wire.ChangeRequest) (result *mergedConfig, release func(), began bool) {
	put := request.Command.GetPut()
	if put.GetKey() != s.configKey() {
		return nil, func() {}, true
	}
	select {
	case s.mergeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false
	case <-s.ctx.Done():
		return nil, nil, false
	}
	release = func() { <-s.mergeLock }
	var old *wire.Document
	needed := false // else propose answers at once
	if !s.runOnLoop(ctx, func() {
		old = s.state.documents[put.Key]
		needed = s.failure == nil && s.core.Status().IsLeader && (put.AnyVersion || put.IfVersion == old.GetVersion())
	}) {
		release()
		return nil, nil, false
	}
	if needed {
		result = s.mergeConfig(old, put, request.Patch)
	}
	return result, release, true
}

// prepareConfig puts the merged configuration in place of what was sent.
func (s *shard) prepareConfig(put *wire.Put, request *wire.ChangeRequest, result *mergedConfig) *wire.ChangeResponse {
	old := s.state.documents[put.Key]
	if result == nil || result.baseVersion != old.GetVersion() { // it wasn't merged ahead, or another change came between
		result = s.mergeConfig(old, put, request.Patch)
	}
	if result.err != nil {
		return &wire.ChangeResponse{Outcome: errs.KindOf(result.err).Name, Version: old.GetVersion(), Errors: []string{result.err.Error()}}
	}
	if put.AnyVersion && len(s.core.UnappliedEntries()) > 0 { // it was validated against what another change may replace
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
	}
	put.NewVersion = result.version
	if put.Body = result.body; request.Patch && put.AnyVersion { // it was merged onto this version, so it holds for this one alone
		put.AnyVersion, put.IfVersion = false, old.GetVersion()
	}
	return nil
}

// mergeRoutingConfig merges a plan, or named items of one, onto the one in force.
func (s *shard) mergeRoutingConfig(result *mergedConfig, old *wire.Document, put *wire.Put, patch bool) {
	result.body, result.version, result.err = s.codec.Merge(old.GetBody(), put.Body, patch)
	if result.err != nil && errs.KindOf(result.err) == errs.Internal {
		result.err = errs.WrapAs(result.err, errs.BadInput, "plan")
	}
	if result.err == nil && result.version <= old.GetVersion() {
		result.err = errs.New(errs.BadInput, "version %d isn't above %d, which is in force", result.version, old.GetVersion())
	}
}
