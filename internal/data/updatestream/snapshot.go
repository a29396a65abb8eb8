package updatestream

import (
	"time"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/tenanthistory"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// The states of a worker, from the most to the least usable. The values are part of the wire protocol.
const (
	WorkerUp       uint32 = iota
	WorkerSuspect         // a request to the worker or a health probe has failed since its last successful probe
	WorkerDraining        // the worker gets no new requests
	WorkerGone            // no health probe of the worker has ever succeeded, or none for a long time
)

// Snapshot is the control state that requests are routed by. It is never modified once it is shared. Instants
// are readings of the machine's monotonic clock.
type Snapshot struct {
	Version         uint64 // version of the whole update, reported as known in the next request to the node agent
	ConfigVersion   uint64
	ListsVersion    uint64 // common version of the lists of workers, nodes, placements and stores
	Config          *serviceconfig.Config
	ProofAt         time.Duration // instant at which no configuration newer than ConfigVersion had been acknowledged; 0: no proof
	LatestProofAt   time.Duration // latest ProofAt of this configuration version, kept when the node agent restarts without a proof
	WorkersListedAt time.Duration // when the list of workers was last read successfully from the platform
	Workers         []*wire.Worker
	Nodes           []*wire.Node
	Placements      map[string]*placement.Placement // placement of prompt prefixes, by name of the service
	Stores          []string                        // addresses of the KV cache stores
	Weights         map[string]WeightsHistory       // configured versions of the weights, by name of the model
}

// IsFresh reports whether the configuration may still be used at the instant now: the proof that it is the newest
// is younger than age. A nil snapshot isn't fresh.
//
// Example: if !s.IsFresh(clock.Now(), bounds.Config(0.8)) { reject() }
func (s *Snapshot) IsFresh(now, age time.Duration) bool {
	return s != nil && s.Config != nil && s.ProofAt > 0 && now-s.ProofAt < age
}

// ReadSnapshot decodes a node agent's response. What the response omits because it has not changed is taken from
// the old snapshot (nil: none). The error names the document that could not be decoded.
//
// Example: snapshot, err := updatestream.ReadSnapshot(response, old, clock.Now())
func ReadSnapshot(response *wire.FeedResponse, old *Snapshot, now time.Duration) (*Snapshot, error) {
	snapshot := &Snapshot{ListsVersion: response.ListsVersion, Placements: map[string]*placement.Placement{}, Weights: map[string]WeightsHistory{}}
	hasSameLists := old != nil && response.ListsVersion == old.ListsVersion && response.ListsVersion != 0
	if hasSameLists {
		copied := *old
		snapshot = &copied
	}
	snapshot.Version, snapshot.ProofAt, snapshot.WorkersListedAt = response.Version, time.Duration(response.ProofAtNs), time.Duration(response.WorkersListedAtNs)
	if err := snapshot.applyConfig(response.Config, old, now); err != nil {
		return nil, err
	}
	if hasSameLists {
		return snapshot, nil
	}
	snapshot.Workers, snapshot.Nodes, snapshot.Stores = response.Workers, response.Nodes, response.Stores
	if err := snapshot.readPlacements(response.Placements, old); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// readPlacements decodes the placements, and reuses those that the old snapshot has in the same version.
func (s *Snapshot) readPlacements(documents []*wire.Document, old *Snapshot) error {
	for _, document := range documents {
		if old != nil && old.Placements[document.Key] != nil && old.Placements[document.Key].Version == document.Version {
			s.Placements[document.Key] = old.Placements[document.Key]
			continue
		}
		read, err := placement.Read(document.Body, document.Version)
		if err != nil {
			return errs.Wrap(err, "decode placement of service "+document.Key)
		}
		s.Placements[document.Key] = read
	}
	return nil
}

// applyConfig sets the configuration from a response, or keeps the old one if the response has none (nil) or
// has the same version.
func (s *Snapshot) applyConfig(document *wire.Document, old *Snapshot, now time.Duration) error {
	if old != nil && old.Config != nil && (document == nil || old.ConfigVersion == document.Version) {
		s.ConfigVersion, s.Config, s.Weights = old.ConfigVersion, old.Config, old.Weights
		s.LatestProofAt = max(old.LatestProofAt, s.ProofAt) // the earlier proof that this configuration version was the newest stays valid even if the response has none
		return nil
	}
	if document == nil {
		return nil
	}
	config, err := serviceconfig.Decode(document.Body)
	if err != nil {
		return errs.Wrap(err, "decode configuration in update of the node agent")
	}
	config.SetSharedDomain(tenanthistory.SharedDomain(document, len(config.Tenants) > 0))
	s.ConfigVersion, s.Config, s.LatestProofAt = document.Version, config.BuildIndex(), s.ProofAt
	s.Weights = map[string]WeightsHistory{}
	for name, model := range config.Models {
		var history WeightsHistory
		provenUntil := time.Duration(0)
		if old != nil {
			history, provenUntil = old.Weights[name], old.LatestProofAt
		}
		s.Weights[name] = history.next(model.Weights, provenUntil, now)
	}
	return nil
}
