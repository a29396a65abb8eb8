package updatestream

import (
	"time"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// The states of a worker, from the most to the least usable. The values are on the wire.
const (
	WorkerUp       uint32 = iota
	WorkerSuspect         // an attempt or a probe has failed since its last successful probe
	WorkerDraining        // it gets no new requests
	WorkerGone            // it was never probed successfully, or not for long
)

// Snapshot is everything that a request uses. It is never changed once it is shared; instants are those of
// the machine's clock.
type Snapshot struct {
	Version         uint64 // of everything in an update
	ConfigVersion   uint64
	ListsVersion    uint64 // of workers, nodes, placements and stores
	Config          *serviceconfig.Config
	ProofAt         time.Duration // no configuration newer than ConfigVersion had been acknowledged then; 0: no proof
	LatestProofAt   time.Duration // the latest such instant known, also after a restart of the node agent
	WorkersListedAt time.Duration // when the platform's list of workers was last requested successfully
	Workers         []*wire.Worker
	Nodes           []*wire.Node
	Placements      map[string]*placement.Placement // by service
	Stores          []string                        // addresses
	Weights         map[string]WeightsHistory       // by model
}

// IsFresh reports whether the configuration may still be used at an instant: its proof is younger than age.
// A nil snapshot isn't fresh.
//
// Example: if !s.IsFresh(clock.Now(), bounds.Config(0.8)) { reject() }
func (s *Snapshot) IsFresh(now, age time.Duration) bool {
	return s != nil && s.Config != nil && s.ProofAt > 0 && now-s.ProofAt < age
}

// ReadSnapshot makes a snapshot of a node agent's response. What the response leaves out is the old
// snapshot's (nil: none), whose data is reused. An error says which document can't be read.
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

// readPlacements reads the placements, but for those that the old snapshot has in the same version.
func (s *Snapshot) readPlacements(documents []*wire.Document, old *Snapshot) error {
	for _, document := range documents {
		if old != nil && old.Placements[document.Key] != nil && old.Placements[document.Key].Version == document.Version {
			s.Placements[document.Key] = old.Placements[document.Key]
			continue
		}
		read, err := placement.Read(document.Body, document.Version)
		if err != nil {
			return errs.Wrap(err, "placement in update")
		}
		s.Placements[document.Key] = read
	}
	return nil
}

// applyConfig takes the configuration of a response, or keeps the old one if the response has none (nil),
// or the same version.
func (s *Snapshot) applyConfig(document *wire.Document, old *Snapshot, now time.Duration) error {
	if old != nil && old.Config != nil && (document == nil || old.ConfigVersion == document.Version) {
		s.ConfigVersion, s.Config, s.Weights = old.ConfigVersion, old.Config, old.Weights
		s.LatestProofAt = max(old.LatestProofAt, s.ProofAt) // a proof of this version stays valid
		return nil
	}
	if document == nil {
		return nil
	}
	config, err := serviceconfig.Decode(document.Body)
	if err != nil {
		return errs.Wrap(err, "configuration in update")
	}
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
