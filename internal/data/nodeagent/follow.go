package nodeagent

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/wire"
)

// followConfig long-polls one member of the control state shard that stores the configuration, until the process
// stops. Each member is polled by its own goroutine, so that a member that does not respond does not delay updates
// from the other members.
func (a *Agent) followConfig(member string) {
	bounds := a.process.Settings.Bounds
	for a.process.Ctx.Err() == nil {
		var knownVersion uint64
		a.actor.Ask(func(s *agentState) { knownVersion = s.proof.LatestVersion() })
		requestedAt := a.clock.Now()
		response := a.watchConfig(member, knownVersion)
		if response == nil || response.Outcome == wire.OutcomeUnknown {
			clock.Sleep(a.process.Ctx, bounds.Config(configRetryRatio))
		}
		if response != nil {
			a.actor.Ask(func(s *agentState) { a.applyConfig(s, member, knownVersion, requestedAt, response) })
		}
	}
}

// watchConfig sends a long poll for a configuration newer than knownVersion to a shard member. It returns nil if the
// address of the member is not known or the request fails.
func (a *Agent) watchConfig(member string, knownVersion uint64) *wire.WatchResponse {
	bounds := a.process.Settings.Bounds
	addr, ok := a.member.View().Addr(clustermembership.RoleControlNode + "/" + member)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.process.Ctx, bounds.Config(configTimeoutRatio))
	defer cancel()
	response, err := a.clients.ControlNode(addr).Watch(ctx, &wire.WatchRequest{Key: controlclient.ConfigKey, KnownVersion: knownVersion,
		MaxWaitNs: uint64(bounds.Config(configLongPollRatio))})
	if err != nil {
		return nil
	}
	return response
}

// applyConfig applies the response of a control state shard member to the freshness proof. If two members have now
// attested a newer configuration, the agent uses it from now on.
func (a *Agent) applyConfig(state *agentState, member string, knownVersion uint64, requestedAt time.Duration, response *wire.WatchResponse) {
	defer state.notifyWaiters()
	if !state.proof.HandleResponse(member, knownVersion, requestedAt, response) {
		return
	}
	document := state.proof.Document()
	config, err := serviceconfig.Decode(document.Body)
	if err != nil {
		// The control state stores only valid configurations, but an older release of this program may be unable to
		// decode one. It then runs without a configuration rather than with an incomplete one.
		a.process.Log.Error("cannot decode the new configuration; running without a configuration", "version", document.Version, "error", err)
	}
	state.config = config
	if config != nil && len(config.Seeds) == 3 {
		a.member.SetSeeds(config.Seeds)
	}
	a.process.Log.Info("applied a new configuration", "version", document.Version)
}

// followPlacements requests, for each service that has workers, a newer placement of its prompt prefixes from the
// control state.
func (a *Agent) followPlacements() {
	var knownVersions map[string]uint64
	a.actor.Ask(func(s *agentState) { knownVersions = s.placementVersions() })
	for service, knownVersion := range knownVersions {
		shard := controlclient.ShardOf(service)
		members := controlclient.Members(shard, a.process.Settings.Core)
		// The requests go to a different member of the shard in each second, so that a failed member does not stop the
		// updates.
		member := members[int(a.clock.Now()/time.Second)%len(members)]
		if addr, ok := a.member.View().Addr(clustermembership.RoleControlNode + "/" + member); ok {
			a.followPlacement(addr, shard, service, knownVersion)
		}
	}
}

// placementVersions returns, for each configured service that has workers, the known version of the placement of its
// prompt prefixes, or 0 if no placement of it is known; services without workers have no placement. It also removes
// the placements of services that are no longer configured.
func (s *agentState) placementVersions() map[string]uint64 {
	versions := map[string]uint64{}
	if s.config == nil {
		return versions
	}
	for _, row := range s.rows {
		if _, ok := s.config.Services[row.Service]; ok {
			versions[row.Service] = s.placements[row.Service].GetVersion()
		}
	}
	for service := range s.placements {
		if _, ok := s.config.Services[service]; !ok {
			delete(s.placements, service)
		}
	}
	return versions
}

// followPlacement requests the placement of one service's prompt prefixes from a control state shard member, if it is
// newer than knownVersion. The member responds at once, also if it has no newer one.
func (a *Agent) followPlacement(addr string, shard uint32, service string, knownVersion uint64) {
	ctx, cancel := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Recovery(placementTimeoutRatio))
	defer cancel()
	response, err := a.clients.ControlNode(addr).Watch(ctx, &wire.WatchRequest{Shard: shard, Key: "placement/" + service, KnownVersion: knownVersion})
	if err != nil || response.Outcome != wire.OutcomeUpdated || response.Document.GetVersion() <= knownVersion {
		return
	}
	a.actor.TrySend(func(s *agentState) {
		s.placements[service] = &wire.Document{Key: service, Body: response.Document.Body, Version: response.Document.Version}
		s.notifyListsChanged()
	})
}
