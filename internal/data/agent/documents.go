package agent

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/tenanthistory"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// applyDocument decodes a newer document and stores it in the snapshot. Members send only committed
// documents. If decoding fails, the previous version stays in use; for the plan, the freshness proof then no
// longer advances.
func (t *table) applyDocument(document *wire.Document, now time.Duration) error {
	document, err := fleet.Decompress(document)
	if err != nil {
		return err
	}
	switch document.Key {
	case routingconfig.DocumentKey:
		return t.applyPlan(document)
	case fleet.WorkersKey:
		var list fleet.WorkerList
		if err := json.Unmarshal(document.Body, &list); err != nil {
			return errs.WrapAs(err, errs.Internal, "decode list of workers")
		}
		t.snapshot.Workers = list.Workers
		return nil
	case fleet.WeightsKey:
		var weights fleet.Weights
		if err := json.Unmarshal(document.Body, &weights); err != nil {
			return errs.WrapAs(err, errs.Internal, "decode list of weights versions")
		}
		t.applyWeights(weights.Versions, now)
		return nil
	}
	return t.applyPlacement(document)
}

func (t *table) applyPlan(document *wire.Document) error {
	plan, err := t.codec.Read(document.Body)
	if err != nil {
		return err
	}
	hasTenants := len(plan.Tenants) > 0
	plan.SharedDomain = tenanthistory.SharedDomain(document, hasTenants)
	plan.HadTenants = tenanthistory.HadTenants(document, hasTenants)
	plan.Version = document.Version // the document's committed version takes precedence over a version in its body
	t.snapshot.Plan = plan
	return nil
}

func (t *table) applyPlacement(document *wire.Document) error {
	read, err := placement.Read(document.Body, document.Version)
	if err != nil {
		return err
	}
	placements := maps.Clone(t.snapshot.Placements)
	if placements == nil {
		placements = map[string]*placement.Placement{}
	}
	placements[strings.TrimPrefix(document.Key, fleet.PlacementKey)] = read
	t.snapshot.Placements = placements
	return nil
}

// assumedElapsedRatio is the fraction of the weights bound (the longest time for which requests may still start on
// superseded weights) that is assumed to have elapsed for versions of model weights that were configured while the
// agent was out of contact with the control nodes.
const assumedElapsedRatio = 0.5

// applyWeights sets the configured version of the weights of each model. An agent in contact with the control nodes
// receives a change immediately. One that was out of contact, or has just started, can't know when the change was made:
// it assumes that half the weights bound (the longest time for which requests may still start on superseded weights)
// has elapsed since, or the time since the last contact if that is shorter.
func (t *table) applyWeights(configured map[string]uint64, now time.Duration) {
	since := now
	if t.isOutOfContact(now) {
		since = max(t.snapshot.ProofAt, now-t.bounds.Weights(assumedElapsedRatio))
	}
	namedAt, earlier := map[string]time.Duration{}, map[string][]fleet.TargetVersion{}
	for model, version := range configured {
		namedAt[model], earlier[model] = since, t.snapshot.EarlierVersions[model]
		previous, ok := t.snapshot.TargetVersions[model]
		switch {
		case ok && previous == version:
			namedAt[model] = t.snapshot.TargetSetAt[model]
		case ok:
			before := fleet.TargetVersion{Version: previous, At: t.snapshot.TargetSetAt[model]}
			earlier[model] = t.addEarlierVersion(earlier[model], before, now)
		}
	}
	t.snapshot.TargetVersions, t.snapshot.TargetSetAt, t.snapshot.EarlierVersions = configured, namedAt, earlier
}

// maxEarlierVersions is the maximum number of earlier versions of the weights that are kept for one model.
const maxEarlierVersions = 8

// addEarlierVersion appends a version to the earlier versions of a model, oldest first. A version is dropped once the
// weights bound (the longest time for which requests may still start on superseded weights) has elapsed since its
// successor was configured, because it no longer has any effect. If more than maxEarlierVersions are left, the oldest
// is dropped and its successor takes over its earlier instant, so that the time of the successor ends too early rather
// than too late.
func (t *table) addEarlierVersion(before []fleet.TargetVersion, version fleet.TargetVersion, now time.Duration) []fleet.TargetVersion {
	all := append(slices.Clone(before), version)
	for len(all) > 1 && now-all[1].At >= t.bounds.Weights(1) {
		all = all[1:]
	}
	if len(all) > maxEarlierVersions {
		all[1].At = all[0].At
		all = all[1:]
	}
	return all
}
