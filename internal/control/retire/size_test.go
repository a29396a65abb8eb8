package retire

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// largeService returns a retirement in PhaseProve and an observation of a service with the given numbers of
// nodes and adapters. Every node has both weight sets loaded and lacks only its proof.
func largeService(nodes, adapters int) (*Retirement, Observation) {
	config := &serviceconfig.Config{Models: map[string]serviceconfig.Model{"old": {Weights: 1, MemoryMB: 50}, "new": {Weights: 1, MemoryMB: 50}}, Adapters: map[string]serviceconfig.Adapter{},
		Services: map[string]serviceconfig.Service{"s": {Model: "old", WorkerMemoryMB: 1000}}, Routes: map[string]serviceconfig.Route{"old": {Service: "s"}}}
	retirement := &Retirement{Name: "spring", Service: "s", OldBase: "old", NewBase: "new", Replacements: map[string]string{}, MaxConcurrent: max(1, nodes/20), State: StateRunning, Phase: PhaseProve}
	oldBuilds, newBuilds := map[string]uint64{}, map[string]uint64{}
	for i := range adapters {
		adapter := fmt.Sprintf("adapter-%d", i)
		config.Adapters[adapter] = serviceconfig.Adapter{BaseModel: "old", Build: 1, MemoryMB: 1, Services: []string{"s"}}
		config.Adapters[adapter+"-2"] = serviceconfig.Adapter{BaseModel: "new", Build: 1, MemoryMB: 1, Services: []string{"s"}}
		config.Routes[adapter] = serviceconfig.Route{Service: "s"}
		retirement.Replacements[adapter], oldBuilds[adapter], newBuilds[adapter+"-2"] = adapter+"-2", 1, 1
	}
	observation := Observation{Now: time.Hour, Version: 7, Config: config, WorkersListed: true, MaxConfigAge: time.Second}
	for i := range nodes {
		name := fmt.Sprintf("worker-%03d", i)
		observation.Nodes = append(observation.Nodes, Node{Name: name, Incarnation: name + "/18a3b2c4d5e6f708", Reachable: true,
			Loaded: []contract.LoadedModel{{Model: "old", Weights: 1, Adapters: oldBuilds}, {Model: "new", Weights: 1, Adapters: newBuilds}}})
	}
	return retirement, observation
}

// At the planned size of 710 nodes and 35 adapters a retirement's document stays within 256 KiB, well under
// the size limit of a shard's state, and its history stays within maxHistory.
func TestDocumentsAreBounded(t *testing.T) {
	retirement, observation := largeService(710, 35)
	_, newSet := retirement.oldAndNewSets(observation.Config)
	for _, node := range observation.Nodes {
		retirement.RecordProof(node.Name, node.Incarnation, newSet)
	}
	for range 3 * maxHistory {
		retirement.transition(StatePaused, retirement.Phase, "by an operator")
		retirement.transition(StateRunning, retirement.Phase, "")
	}
	body, err := retirement.Write()
	if err != nil || len(body) > 256<<10 || len(retirement.History) > maxHistory {
		t.Errorf("retirement document of %d bytes with %d history entries, error %v, want at most 256 KiB and maxHistory entries", len(body), len(retirement.History), err)
	}
}

// BenchmarkNext measures one call of Planner.Next and the size of the retirement's document. Run it with
// `go test ./internal/control/retire -run none -bench Next`.
func BenchmarkNext(b *testing.B) {
	for _, nodes := range []int{18, 90, 355, 710} {
		for _, adapters := range []int{2, 35} {
			b.Run(fmt.Sprintf("nodes=%d/adapters=%d", nodes, adapters), func(b *testing.B) {
				retirement, observation := largeService(nodes, adapters)
				_, newSet := retirement.oldAndNewSets(observation.Config)
				for _, node := range observation.Nodes[1:] {
					retirement.RecordProof(node.Name, node.Incarnation, newSet)
				}
				body, err := retirement.Write()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, actions, _ := NewPlanner().Next(retirement, observation); len(actions) != 1 {
						b.Fatalf("Planner.Next returned %d actions in phase prove, want 1 proof request", len(actions))
					}
				}
				b.ReportMetric(float64(len(body)), "document-bytes")
			})
		}
	}
}
