package retire

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// largeService is a service of so many nodes and adapters, each node ready up to its proof.
func largeService(nodes, adapters int) (*Retirement, Observation) {
	s := &serviceconfig.Config{Models: map[string]serviceconfig.Model{"old": {Weights: 1, MemoryMB: 50}, "new": {Weights: 1, MemoryMB: 50}}, Adapters: map[string]serviceconfig.Adapter{},
		Services: map[string]serviceconfig.Service{"s": {Model: "old", WorkerMemoryMB: 1000}}, Routes: map[string]serviceconfig.Route{"old": {Service: "s"}}}
	r := &Retirement{Name: "spring", Service: "s", OldBase: "old", NewBase: "new", Replacements: map[string]string{}, MaxConcurrent: max(1, nodes/20), State: StateRunning, Phase: PhaseProve}
	was, next := map[string]uint64{}, map[string]uint64{}
	for i := range adapters {
		n := fmt.Sprintf("adapter-%d", i)
		s.Adapters[n] = serviceconfig.Adapter{BaseModel: "old", Build: 1, MemoryMB: 1, Services: []string{"s"}}
		s.Adapters[n+"-2"] = serviceconfig.Adapter{BaseModel: "new", Build: 1, MemoryMB: 1, Services: []string{"s"}}
		s.Routes[n] = serviceconfig.Route{Service: "s"}
		r.Replacements[n], was[n], next[n+"-2"] = n+"-2", 1, 1
	}
	w := Observation{Now: time.Hour, Version: 7, Config: s, WorkersListed: true, MaxConfigAge: time.Second}
	for i := range nodes {
		name := fmt.Sprintf("worker-%03d", i)
		w.Nodes = append(w.Nodes, Node{Name: name, Incarnation: name + "/18a3b2c4d5e6f708", Reachable: true,
			Loaded: []contract.LoadedModel{{Model: "old", Weights: 1, Adapters: was}, {Model: "new", Weights: 1, Adapters: next}}})
	}
	return r, w
}

// Documents stay well under what a part's state may hold, at the size that is looked towards.
func TestDocumentsAreBounded(t *testing.T) {
	r, w := largeService(710, 35)
	_, next := r.oldAndNewSets(w.Config)
	for _, n := range w.Nodes {
		r.RecordProof(n.Name, n.Incarnation, next)
	}
	for range 3 * maxHistory {
		r.transition(StatePaused, r.Phase, "by an operator")
		r.transition(StateRunning, r.Phase, "")
	}
	b, err := r.Write()
	if err != nil || len(b) > 256<<10 || len(r.History) > maxHistory {
		t.Errorf("%d bytes, %d lines of history, %v", len(b), len(r.History), err)
	}
}

// One look of a holder, and the document's size: `go test ./internal/control/retire -run none -bench Look`
func BenchmarkLook(b *testing.B) {
	for _, n := range []int{18, 90, 355, 710} {
		for _, a := range []int{2, 35} {
			b.Run(fmt.Sprintf("nodes=%d/adapters=%d", n, a), func(b *testing.B) {
				r, w := largeService(n, a)
				_, next := r.oldAndNewSets(w.Config)
				for _, x := range w.Nodes[1:] {
					r.RecordProof(x.Name, x.Incarnation, next)
				}
				body, err := r.Write()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, acts, _ := NewPlanner().Next(r, w); len(acts) != 1 {
						b.Fatalf("%d acts", len(acts))
					}
				}
				b.ReportMetric(float64(len(body)), "document-bytes")
			})
		}
	}
}
