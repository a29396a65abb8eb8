package agent

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// applyDocument takes a newer document into use. Members send committed documents only. One that this
// program can't read leaves the previous one in use, and the plan's proof then stops growing.
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
			return errs.WrapAs(err, errs.Internal, "not a table of workers")
		}
		t.snapshot.Workers = list.Workers
		return nil
	case fleet.WeightsKey:
		var weights fleet.Weights
		if err := json.Unmarshal(document.Body, &weights); err != nil {
			return errs.WrapAs(err, errs.Internal, "not a list of weights")
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
	plan.Version = document.Version // the committed version counts
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

// assumedElapsedRatio is how much of the weights bound counts as elapsed for versions that were named while
// the agent was out of contact.
const assumedElapsedRatio = 0.5

// applyWeights sets the named weights, by model. An agent in contact learns of them at once. One that was
// out of contact, or has just started, can't know how long ago they were named: half the bound counts as
// elapsed, or the time since the last contact if that is less.
func (t *table) applyWeights(named map[string]uint64, now time.Duration) {
	since := now
	if t.isOutOfContact(now) {
		since = max(t.snapshot.ProofAt, now-t.bounds.Weights(assumedElapsedRatio))
	}
	namedAt, superseding := map[string]time.Duration{}, map[string][]fleet.NamedVersion{}
	for model, version := range named {
		namedAt[model], superseding[model] = since, t.snapshot.EarlierVersions[model]
		previous, ok := t.snapshot.NamedVersions[model]
		switch {
		case ok && previous == version:
			namedAt[model] = t.snapshot.NamedAt[model]
		case ok:
			before := fleet.NamedVersion{Version: previous, At: t.snapshot.NamedAt[model]}
			superseding[model] = t.addSuperseding(superseding[model], before, now)
		}
	}
	t.snapshot.NamedVersions, t.snapshot.NamedAt, t.snapshot.EarlierVersions = named, namedAt, superseding
}

// maxSuperseding bounds the versions that are kept of one model.
const maxSuperseding = 8

// addSuperseding adds a version to those that were named before, oldest first. Once a version's bound has
// run out, the ones before it don't matter any more; if there are too many, the next takes over the oldest's
// time, which is stricter.
func (t *table) addSuperseding(before []fleet.NamedVersion, version fleet.NamedVersion, now time.Duration) []fleet.NamedVersion {
	all := append(slices.Clone(before), version)
	for len(all) > 1 && now-all[1].At >= t.bounds.Weights(1) {
		all = all[1:]
	}
	if len(all) > maxSuperseding {
		all[1].At = all[0].At
		all = all[1:]
	}
	return all
}
