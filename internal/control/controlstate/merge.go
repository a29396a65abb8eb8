package controlstate

import (
	"context"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// mergedConfig is the result of merging a configuration change into the current configuration and validating it,
// before the change is proposed.
type mergedConfig struct {
	baseVersion uint64 // version of the configuration document that the change was merged into
	body        []byte // encoded configuration that results from the merge
	version     uint64 // version that the configuration document gets; 0: baseVersion plus one
	err         error  // why the merged configuration is invalid; nil if it is valid

	tenantHistory *wire.TenantHistory // history of the tenants up to the resulting version
}

// configKey returns the key of the document that holds the configuration, which is merged and validated before it
// is proposed.
func (s *shard) configKey() string {
	if s.group != nil {
		return routingconfig.DocumentKey
	}
	return controlclient.ConfigKey
}

// mergeConfig returns the configuration that a change produces: that of put or, with patch, the configuration in
// the document old with the partial one of put merged into it. It validates the result.
func (s *shard) mergeConfig(old *wire.Document, put *wire.Put, patch bool) *mergedConfig {
	config := &mergedConfig{baseVersion: old.GetVersion()}
	if s.group != nil {
		s.mergeRoutingConfig(config, old, put, patch)
	} else {
		mergeServiceConfig(config, old, put, patch)
	}
	if config.err == nil {
		config.tenantHistory, config.err = s.nextTenantHistory(old, config)
	}
	return config
}

// mergeServiceConfig sets the service configuration that a change produces: that of put or, with patch, the one in the
// document old with the merge patch of put applied.
func mergeServiceConfig(config *mergedConfig, old *wire.Document, put *wire.Put, patch bool) {
	var base []byte
	if patch {
		base = old.GetBody()
	}
	config.body, config.err = serviceconfig.Merge(base, put.Body)
	if config.err == nil {
		config.err = serviceconfig.CheckSuccessor(old.GetBody(), config.body)
	}
}

// mergeRoutingConfig sets the routing configuration that a change produces: that of put or, with patch, the one in
// the document old with the individual items of put replaced. The version of a routing configuration is part of
// its body and has to increase.
func (s *shard) mergeRoutingConfig(config *mergedConfig, old *wire.Document, put *wire.Put, patch bool) {
	config.body, config.version, config.err = s.codec.Merge(old.GetBody(), put.Body, patch)
	if config.err != nil && errs.KindOf(config.err) == errs.Internal {
		config.err = errs.WrapAs(config.err, errs.BadInput, "plan")
	}
	if config.err == nil && config.version <= old.GetVersion() {
		config.err = errs.New(errs.BadInput, "routing configuration version %d isn't above %d, the current version", config.version, old.GetVersion())
	}
}

// mergeBeforeProposal merges and validates a configuration change on the caller's goroutine, one change at a time.
// On the shard's goroutine a large configuration would delay heartbeats. The result is nil if there is nothing to
// merge, or if propose is going to reject the change anyway. The caller has to call release after the change is
// completed. ok is false, and release is nil, if the context or the process ended first or the command queue is
// full.
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

// prepareConfig replaces the body of a configuration change by the merged configuration. It merges again on the
// shard's goroutine if config is nil or another change of the configuration has been applied since the merge. It
// returns nil if the change should be proposed, and the response to it otherwise.
func (s *shard) prepareConfig(put *wire.Put, request *wire.ChangeRequest, config *mergedConfig) *wire.ChangeResponse {
	old := s.state.documents[put.Key]
	if config == nil || config.baseVersion != old.GetVersion() {
		config = s.mergeConfig(old, put, request.Patch)
	}
	if config.err != nil {
		return rejection(config.err, old.GetVersion())
	}
	if put.AnyVersion && len(s.core.UnappliedEntries()) > 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded} // an unapplied log entry may change the configuration that this change was validated against
	}
	put.NewVersion, put.Body, put.TenantHistory = config.version, config.body, config.tenantHistory
	if request.Patch && put.AnyVersion {
		// The merged body is valid only for the version that it was merged into, so the change must not apply to any
		// other.
		put.AnyVersion, put.IfVersion = false, old.GetVersion()
	}
	return nil
}
