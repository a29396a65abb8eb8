package selection

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/fleet"
)

// modelVersions is which version of a model's weights each candidate serves.
type modelVersions struct {
	byCandidate []uint64 // 0: none
	distinct    []uint64 // the versions, newest first
	reported    bool     // some worker reports its versions
}

// modelOf is the model of a request: the service's only one if the request names none.
func (g *serviceGroup) modelOf(request *Request) string {
	if engine := g.service.Engine; request.Model == "" && engine != nil && len(engine.Models) == 1 {
		return engine.Models[0]
	}
	return request.Model
}

// versionsOf lists which version of a model each worker serves.
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
	slices.SortFunc(versions.distinct, func(a, b uint64) int { return cmp.Compare(b, a) }) // newest first
	if len(g.models) < maxModels {
		g.models[model] = versions
	}
	return versions
}

// oldestAllowedVersion is the oldest version on which a request may still start. Each version that was named
// ends the use of those before it once its bound has run out, also where another was named meanwhile.
func (t *table) oldestAllowedVersion(snapshot *fleet.Snapshot, model string, versions *modelVersions, now time.Duration) (oldest uint64) {
	if !t.olderVersionAllowed(snapshot, model, versions, now) {
		return snapshot.NamedVersions[model]
	}
	for _, named := range snapshot.EarlierVersions[model] {
		if now >= t.rolloutLimitAppliesFrom && now-named.At >= t.bounds.Weights(rolloutTuning.olderVersionRatio) {
			oldest = max(oldest, named.Version)
		}
	}
	return oldest
}

// olderVersionAllowed reports whether a request may still start on weights older than the named ones. A
// process that has just started isn't in contact yet, and the bound doesn't apply to it. After that,
// the bound of a version that was named before this process started is running already, half of it as
// the agent assumes: then the older version is selected only while no worker serves the newer one.
func (t *table) olderVersionAllowed(snapshot *fleet.Snapshot, model string, versions *modelVersions, now time.Duration) bool {
	named := snapshot.NamedVersions[model]
	if named == 0 {
		return true
	}
	namedAt, ok := snapshot.NamedAt[model]
	if !ok || now < t.rolloutLimitAppliesFrom {
		return true
	}
	isInherited := namedAt-t.startedAt < t.bounds.Heal(rolloutTuning.inheritedRatio)
	if isInherited && slices.ContainsFunc(versions.distinct, func(version uint64) bool { return version >= named }) {
		return false
	}
	return now-namedAt < t.bounds.Weights(rolloutTuning.olderVersionRatio)
}
