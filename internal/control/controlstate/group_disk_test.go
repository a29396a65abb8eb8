package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/wire"
)

// A group of one has nothing but its disk. Whatever becomes of the process, of the machine's power
// and of single writes and syncs, what it acknowledged is there once it runs again; and it takes
// changes again as soon as the disk does.
func TestAcknowledgedMeansOnTheDisk(t *testing.T) {
	acked, all, ends := uint64(0), 0, 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 3))
		d := newCacheDisk(r)
		var p *shard
		newest, boots := uint64(0), 0
		boot := func() {
			boots, all = boots+1, all+1
			d.crashed, d.writesUntilCrash = false, -1
			p = newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
			p.compactThreshold = 400
			openGroup(p, &group{codec: versionCodec{}, disk: d, targetSize: 1, reopenTicks: 3, zoneOf: func(string) string { return "" },
				consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, Rand: r},
				initialSnapshot: func() *wire.Snapshot {
					return initialGroupSnapshot(boots == 1 || newest == 0, "a:1", []string{"a:1"}, r.Uint64)
				}})
		}
		tick := func(n int) {
			for range n {
				if p.failure == nil {
					p.core.Tick()
				}
				p.tickGroup()
				p.handleReady()
				if d.crashed {
					if ends++; r.IntN(2) == 0 {
						d.losePower()
					}
					boot()
				}
			}
		}

		boot()
		for i := range 60 {
			switch r.IntN(6) {
			case 0:
				d.failWrites = !d.failWrites
			case 1:
				d.writesUntilCrash = r.IntN(4)
			case 2:
				if r.IntN(2) == 0 {
					d.losePower()
				}
				boot()
			}
			tick(1 + r.IntN(30))
			if i%10 == 9 {
				d.failWrites = false
				tick(60)
			}
			a := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: "k", AnyVersion: true, Body: fmt.Append(nil, i)}}}}
			w, response := p.propose(a, nil)
			incarnation := p
			tick(1)
			if response == nil && incarnation == p {
				select {
				case response = <-w.response:
				default:
				}
			}
			if response.GetOutcome() == wire.OutcomeDone {
				acked++
				newest = response.Version
			}
			if i%10 == 9 && (p.failure != nil || response.GetOutcome() != wire.OutcomeDone && d.writesUntilCrash < 0 && incarnation == p) {
				t.Fatalf("seed %d: with a disk that is well: %v, %v", seed, p.failure, response)
			}
			if e := p.state.documents["k"].GetVersion(); p.failure == nil && p.core.HasAppliedCurrentTerm() && e < newest {
				t.Fatalf("seed %d, step %d: %d was acknowledged, %d is there", seed, i, newest, e)
			}
		}
	}
	if acked < 2000 || all < 1000 || ends < 200 {
		t.Errorf("%d acknowledged, %d starts, %d ends in a write", acked, all, ends)
	}
}
