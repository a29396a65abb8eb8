package archive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/ledger"
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
		var p *part
		newest, boots := uint64(0), 0
		boot := func() {
			boots, all = boots+1, all+1
			d.died, d.dieIn = false, -1
			p = newPart(context.Background(), 0, &clock.Hand{}, hclog.NewNullLogger(), func(*wire.Letter) {})
			p.turnAt = 400
			openGroup(p, &group{codec: versions{}, disk: d, want: 1, mendTicks: 3, district: func(string) string { return "" },
				cfg:   ledger.Config{BeatTicks: beatTicks, ElectTicks: electTicks, MaxBytes: 4096, Rand: r},
				first: func() *wire.Slot { return begin(boots == 1 || newest == 0, "a:1", []string{"a:1"}, r.Uint64) }})
		}
		tick := func(n int) {
			for range n {
				if p.bad == nil {
					p.core.Tick()
				}
				p.watch()
				p.step()
				if d.died {
					if ends++; r.IntN(2) == 0 {
						d.powerLost()
					}
					boot()
				}
			}
		}

		boot()
		for i := range 60 {
			switch r.IntN(6) {
			case 0:
				d.fail = !d.fail
			case 1:
				d.dieIn = r.IntN(4)
			case 2:
				if r.IntN(2) == 0 {
					d.powerLost()
				}
				boot()
			}
			tick(1 + r.IntN(30))
			if i%10 == 9 {
				d.fail = false
				tick(60)
			}
			a := &wire.ChangeAsk{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: "k", AnyEpoch: true, Body: fmt.Append(nil, i)}}}}
			w, tell := p.propose(a, nil)
			life := p
			tick(1)
			if tell == nil && life == p {
				select {
				case tell = <-w.tell:
				default:
				}
			}
			if tell.GetOutcome() == "done" {
				acked++
				newest = tell.Epoch
			}
			if i%10 == 9 && (p.bad != nil || tell.GetOutcome() != "done" && d.dieIn < 0 && life == p) {
				t.Fatalf("seed %d: with a disk that is well: %v, %v", seed, p.bad, tell)
			}
			if e := p.st.docs["k"].GetEpoch(); p.bad == nil && p.core.Current() && e < newest {
				t.Fatalf("seed %d, step %d: %d was acknowledged, %d is there", seed, i, newest, e)
			}
		}
	}
	if acked < 2000 || all < 1000 || ends < 200 {
		t.Errorf("%d acknowledged, %d starts, %d ends in a write", acked, all, ends)
	}
}
