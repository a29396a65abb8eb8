package controlstate

import (
	"context"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// mergedConfig is a configuration that was merged onto the one in force and validated, before it is
// proposed.
type mergedConfig struct {
	baseVersion uint64 // the version that it was merged onto
	body        []byte
	version     uint64 // the document's next version; 0: one more than the last
	err         error  // why it is invalid; nil if it is valid
}

// configKey is the key of the document that is merged and validated before it is proposed.
func (s *shard) configKey() string {
	if s.group != nil {
		return routingconfig.DocumentKey
	}
	return controlclient.ConfigKey
}

// mergeConfig applies a complete or partial configuration to the one in force and validates the result.
func (s *shard) mergeConfig(old *wire.Document, put *wire.Put, patch bool) *mergedConfig {
	config := &mergedConfig{baseVersion: old.GetVersion()}
	if s.group != nil {
		s.mergeRoutingConfig(config, old, put, patch)
		return config
	}
	var base []byte
	if patch {
		base = old.GetBody()
	}
	config.body, config.err = serviceconfig.Merge(base, put.Body)
	if config.err == nil {
		config.err = serviceconfig.CheckSuccessor(old.GetBody(), config.body)
	}
	return config
}

// mergeRoutingConfig merges a routing configuration, or named items of one, onto the one in force. Its
// version is part of its body and has to increase.
func (s *shard) mergeRoutingConfig(config *mergedConfig, old *wire.Document, put *wire.Put, patch bool) {
	config.body, config.version, config.err = s.codec.Merge(old.GetBody(), put.Body, patch)
	if config.err != nil && errs.KindOf(config.err) == errs.Internal {
		config.err = errs.WrapAs(config.err, errs.BadInput, "plan")
	}
	if config.err == nil && config.version <= old.GetVersion() {
		config.err = errs.New(errs.BadInput, "version %d isn't above %d, which is in force", config.version, old.GetVersion())
	}
}

// mergeBeforeProposal merges and validates a configuration on the caller's goroutine, one at a time: a
// large one takes long, and the shard's goroutine has heartbeats to send. The result is nil if there is
// nothing to merge, or if propose is going to reject the change anyway. The caller has to call release
// once the change is done. If ok is false, the request's time ended first, and release is nil.
func (s *shard) mergeBeforeProposal(ctx context.Context, request *wire.ChangeRequest) (config *mergedConfig, release func(), ok bool) {
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
	isMergeable := false
	if !s.runOnLoop(ctx, func() {
		old = s.state.documents[put.Key]
		isMergeable = s.failure == nil && s.core.Status().IsLeader && (put.AnyVersion || put.IfVersion == old.GetVersion())
	}) {
		release()
		return nil, nil, false
	}
	if isMergeable {
		config = s.mergeConfig(old, put, request.Patch)
	}
	return config, release, true
}

// prepareConfig replaces the body of a change by the merged configuration. It merges here if that
// wasn't done before the proposal, or if another change was applied in between. It returns nil if the
// change is to be proposed.
func (s *shard) prepareConfig(put *wire.Put, request *wire.ChangeRequest, config *mergedConfig) *wire.ChangeResponse {
	old := s.state.documents[put.Key]
	if config == nil || config.baseVersion != old.GetVersion() {
		config = s.mergeConfig(old, put, request.Patch)
	}
	if config.err != nil {
		return rejection(config.err, old.GetVersion())
	}
	if put.AnyVersion && len(s.core.UnappliedEntries()) > 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // an entry in flight may replace what it was validated against
	}
	put.NewVersion, put.Body = config.version, config.body
	if request.Patch && put.AnyVersion {
		// The merged body holds for the version that it was merged onto alone.
		put.AnyVersion, put.IfVersion = false, old.GetVersion()
	}
	return nil
}
