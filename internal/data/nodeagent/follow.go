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

// followConfig polls one member of the configuration's shard until the process stops. Each member has its
// own goroutine, so that one that hangs delays the updates of none of the others.
func (a *Agent) followConfig(member string) {
	bounds := a.process.Settings.Bounds
	for a.process.Ctx.Err() == nil {
		var knownVersion uint64
		a.actor.Ask(func(t *table) { knownVersion = t.proof.LatestVersion() })
		requestedAt := a.clock.Now()
		response := a.watchConfig(member, knownVersion)
		if response == nil || response.Outcome == wire.OutcomeUnknown {
			clock.Sleep(a.process.Ctx, bounds.Config(configRetryRatio))
		}
		if response != nil {
			a.actor.Ask(func(t *table) { a.applyConfig(t, member, knownVersion, requestedAt, response) })
		}
	}
}

// watchConfig asks a member for a newer configuration; nil: no response.
func (a *Agent) watchConfig(member string, knownVersion uint64) *wire.WatchResponse {
	bounds := a.process.Settings.Bounds
	addr, ok := a.member.View().Addr(clustermembership.RoleControlNode + "/" + member)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.process.Ctx, bounds.Config(configCallRatio))
	defer cancel()
	response, err := a.clients.ControlNode(addr).Watch(ctx, &wire.WatchRequest{Key: controlclient.ConfigKey, KnownVersion: knownVersion,
		MaxWaitNs: uint64(bounds.Config(configPollRatio))})
	if err != nil {
		return nil
	}
	return response
}

// applyConfig applies a member's response to the proof, and takes a newer configuration into use once it is
// proved.
func (a *Agent) applyConfig(t *table, member string, knownVersion uint64, requestedAt time.Duration, response *wire.WatchResponse) {
	defer t.notifyWaiting()
	if !t.proof.HandleResponse(member, knownVersion, requestedAt, response) {
		return
	}
	document := t.proof.Document()
	config, err := serviceconfig.Decode(document.Body)
	if err != nil {
		// The control state holds checked configurations only; an older program can still fail here. It runs
		// without a configuration rather than with half of one.
		a.process.Log.Error("configuration can't be read", "version", document.Version, "error", err)
	}
	t.config = config
	if config != nil && len(config.Seeds) == 3 {
		a.member.SetSeeds(config.Seeds)
	}
	a.process.Log.Info("configuration adopted", "version", document.Version)
}

// followPlacements asks for a newer placement of each service that has workers.
func (a *Agent) followPlacements() {
	var knownVersions map[string]uint64
	a.actor.Ask(func(t *table) { knownVersions = t.placementVersions() })
	for service, knownVersion := range knownVersions {
		shard := controlclient.ShardOf(service)
		members := controlclient.Members(shard, a.process.Settings.Core)
		member := members[int(a.clock.Now()/time.Second)%len(members)] // another one each second
		if addr, ok := a.member.View().Addr(clustermembership.RoleControlNode + "/" + member); ok {
			a.followPlacement(addr, shard, service, knownVersion)
		}
	}
}

// placementVersions lists the versions of the placements of services that have workers; other services have
// no placement. It forgets the placements of services that aren't configured any more.
func (t *table) placementVersions() map[string]uint64 {
	versions := map[string]uint64{}
	if t.config == nil {
		return versions
	}
	for _, row := range t.rows {
		if _, ok := t.config.Services[row.Service]; ok {
			versions[row.Service] = t.placements[row.Service].GetVersion()
		}
	}
	for service := range t.placements {
		if _, ok := t.config.Services[service]; !ok {
			delete(t.placements, service)
		}
	}
	return versions
}

// followPlacement asks a member for a newer placement of one service, without waiting for one.
func (a *Agent) followPlacement(addr string, shard uint32, service string, knownVersion uint64) {
	ctx, cancel := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Heal(placementTimeoutRatio))
	defer cancel()
	response, err := a.clients.ControlNode(addr).Watch(ctx, &wire.WatchRequest{Shard: shard, Key: "placement/" + service, KnownVersion: knownVersion})
	if err != nil || response.Outcome != wire.OutcomeUpdated || response.Document.GetVersion() <= knownVersion {
		return
	}
	a.actor.TrySend(func(t *table) {
		t.placements[service] = &wire.Document{Key: service, Body: response.Document.Body, Version: response.Document.Version}
		t.notifyListsChanged()
	})
}
