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
func TestAcknowledgedChangesAreDurable(t *testing.T) {
	acked, all, ends := uint64(0), 0, 0
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 3))
		d := newCacheDisk(random)
		var replica *shard
		newest, boots := uint64(0), 0
		boot := func() {
			boots, all = boots+1, all+1
			d.crashed, d.writesUntilCrash = false, -1
			replica = newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
			replica.compactThreshold = 400
			openGroupShard(replica, &group{codec: versionCodec{}, disk: d, targetSize: 1, reopenTicks: 3, zoneOf: func(string) string { return "" },
				consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, Rand: random},
				initialSnapshot: func() *wire.Snapshot {
					return initialGroupSnapshot(boots == 1 || newest == 0, "a:1", []string{"a:1"}, random.Uint64)
				}})
		}
		tick := func(n int) {
			for range n {
				if replica.failure == nil {
					replica.core.Tick()
				}
				replica.maintainGroup()
				replica.handleReady()
				if d.crashed {
					if ends++; random.IntN(2) == 0 {
						d.losePower()
					}
					boot()
				}
			}
		}

		boot()
		for index := range 60 {
			switch random.IntN(6) {
			case 0:
				d.failWrites = !d.failWrites
			case 1:
				d.writesUntilCrash = random.IntN(4)
			case 2:
				if random.IntN(2) == 0 {
					d.losePower()
				}
				boot()
			}
			tick(1 + random.IntN(30))
			if index%10 == 9 {
				d.failWrites = false
				tick(60)
			}
			request := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: "k", AnyVersion: true, Body: fmt.Append(nil, index)}}}}
			pending, response := replica.propose(request, nil)
			incarnation := replica
			tick(1)
			if response == nil && incarnation == replica {
				select {
				case response = <-pending.response:
				default:
				}
			}
			if response.GetOutcome() == wire.OutcomeDone {
				acked++
				newest = response.Version
			}
			if index%10 == 9 && (replica.failure != nil || response.GetOutcome() != wire.OutcomeDone && d.writesUntilCrash < 0 && incarnation == replica) {
				t.Fatalf("seed %d: with a disk that is well: %v, %v", seed, replica.failure, response)
			}
			if e := replica.state.documents["k"].GetVersion(); replica.failure == nil && replica.core.HasAppliedCurrentTerm() && e < newest {
				t.Fatalf("seed %d, step %d: %d was acknowledged, %d is there", seed, index, newest, e)
			}
		}
	}
	if acked < 2000 || all < 1000 || ends < 200 {
		t.Errorf("%d acknowledged, %d starts, %d ends in a write", acked, all, ends)
	}
}
