package selection

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/fleet"
)

// modelVersions lists which version of one model's weights each candidate worker of a service serves.
type modelVersions struct {
	// By candidate worker: version of the model's weights that it serves; 0: it reports none.
	byCandidate []uint64
	// The distinct weights versions that candidate workers serve, newest first; 0 stands for workers that
	// report none.
	distinct []uint64
	// Whether at least one candidate worker reports its version of the model's weights.
	reported bool
}

// modelOf returns the model of a request: the one that it names, or else the only model of the service.
func (g *serviceGroup) modelOf(request *Request) string {
	if engine := g.service.Engine; request.Model == "" && engine != nil && len(engine.Models) == 1 {
		return engine.Models[0]
	}
	return request.Model
}

// versionsOf returns which version of a model's weights each candidate worker serves, and caches the result for
// the first maxModels models.
func (g *serviceGroup) versionsOf(model string) *modelVersions {
	if versions := g.models[model]; versions != nil {
		return versions
	}
	versions := &modelVersions{byCandidate: make([]uint64, len(g.candidates))}
	for i, candidate := range g.candidates {
		version, ok := candidate.worker.Weights[model]
		versions.byCandidate[i] = version
		versions.reported = versions.reported || ok
		if !slices.Contains(versions.distinct, version) {
			versions.distinct = append(versions.distinct, version)
		}
	}
	// Sort the versions newest first.
	slices.SortFunc(versions.distinct, func(a, b uint64) int { return cmp.Compare(b, a) })
	if len(g.models) < maxModels {
		g.models[model] = versions
	}
	return versions
}

// oldestAllowedVersion returns the oldest weights version on which a request may still start. Each version that
// became the target version in the control state ends the use of all older versions once the rollout time limit
// since then is over, even if yet another version became the target in the meantime.
func (t *table) oldestAllowedVersion(snapshot *fleet.Snapshot, model string, versions *modelVersions, now time.Duration) (oldest uint64) {
	if !t.olderVersionAllowed(snapshot, model, versions, now) {
		return snapshot.TargetVersions[model]
	}
	for _, earlier := range snapshot.EarlierVersions[model] {
		if now >= t.rolloutLimitAppliesFrom && now-earlier.At >= t.bounds.Weights(rolloutTuning.olderVersionRatio) {
			oldest = max(oldest, earlier.Version)
		}
	}
	return oldest
}

// olderVersionAllowed reports whether a request may still start on weights older than the model's target
// version. The rollout time limit doesn't apply to a process that has just started and isn't in contact with the
// control state yet. After that, if the version became the target before the process started, part of
// the limit has already elapsed (package agent, which supplies the snapshot, assumes half): then an older
// version is allowed only while no worker serves the target version.
func (t *table) olderVersionAllowed(snapshot *fleet.Snapshot, model string, versions *modelVersions, now time.Duration) bool {
	target := snapshot.TargetVersions[model]
	if target == 0 {
		return true
	}
	targetSetAt, ok := snapshot.TargetSetAt[model]
	if !ok || now < t.rolloutLimitAppliesFrom {
		return true
	}
	isInherited := targetSetAt-t.startedAt < t.bounds.Recovery(rolloutTuning.inheritedRatio)
	if isInherited && slices.ContainsFunc(versions.distinct, func(version uint64) bool { return version >= target }) {
		return false
	}
	return now-targetSetAt < t.bounds.Weights(rolloutTuning.olderVersionRatio)
}
