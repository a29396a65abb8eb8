package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// singleMember is a group of one, on a disk that fails: it has nothing but this disk.
type singleMember struct {
	random    *rand.Rand
	disk      *cacheDisk
	replica   *shard
	newest    uint64 // the newest version that was acknowledged
	starts    int
	crashes   int // in a write
	ackedPuts int
}

func newSingleMember(seed uint64) *singleMember {
	random := rand.New(rand.NewPCG(seed, 3))
	m := &singleMember{random: random, disk: newCacheDisk(random)}
	m.start()
	return m
}

// start starts the process from its disk.
func (m *singleMember) start() {
	m.starts++
	m.disk.crashed, m.disk.writesUntilCrash = false, -1
	m.replica = newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
	m.replica.compactThreshold = 400
	config := newTestGroup(m.disk, m.random, func(lost bool) *wire.Snapshot {
		return initialGroupSnapshot((m.starts == 1 || m.newest == 0) && !lost, "a:1", []string{"a:1"}, m.random.Uint64)
	})
	config.targetSize = 1
	openGroupShard(m.replica, config)
}

// tick lets time pass; a process that crashes in a write starts again, at times after a loss of power.
func (m *singleMember) tick(ticks int) {
	for range ticks {
		if m.replica.failure == nil {
			m.replica.core.Tick()
		}
		m.replica.maintainGroup()
		m.replica.handleReady()
		if m.disk.crashed {
			m.crashes++
			m.restart()
		}
	}
}

// restart starts the process again, at times after a loss of power.
func (m *singleMember) restart() {
	if m.random.IntN(2) == 0 {
		m.disk.losePower()
	}
	m.start()
}

// injectFault fills the disk or frees it, has the process crash in a coming write, or restarts it.
func (m *singleMember) injectFault() {
	switch m.random.IntN(6) {
	case 0:
		m.disk.failWrites = !m.disk.failWrites
	case 1:
		m.disk.writesUntilCrash = m.random.IntN(4)
	case 2:
		m.restart()
	}
}

// put proposes a change. It returns the answer, nil where there is none after a tick, and whether the
// process has lived on.
func (m *singleMember) put(body []byte) (response *wire.ChangeResponse, survived bool) {
	pending, response := m.replica.propose(putRequest(&wire.Put{Key: "k", AnyVersion: true, Body: body}), nil)
	before := m.replica
	m.tick(1)
	survived = before == m.replica
	if response == nil && survived {
		select {
		case response = <-pending.response:
		default:
		}
	}
	if response.GetOutcome() == wire.OutcomeDone {
		m.ackedPuts++
		m.newest = response.Version
	}
	return response, survived
}

// Whatever becomes of the process, of the machine's power and of single writes and syncs, what a group of
// one has acknowledged is there once it runs again; and it accepts changes again as soon as its disk
// accepts writes.
func TestAcknowledgedChangesAreDurable(t *testing.T) {
	acked, starts, crashes := 0, 0, 0
	for seed := range uint64(400) {
		member := newSingleMember(seed)
		for step := range 60 {
			member.injectFault()
			member.tick(1 + member.random.IntN(30))
			diskIsWell := step%10 == 9
			if diskIsWell {
				member.disk.failWrites = false
				member.tick(60)
			}
			response, survived := member.put(fmt.Append(nil, step))
			refused := response.GetOutcome() != wire.OutcomeDone && member.disk.writesUntilCrash < 0 && survived
			if diskIsWell && (member.replica.failure != nil || refused) {
				t.Fatalf("seed %d: with a disk that is well: %v, %v", seed, member.replica.failure, response)
			}
			if version := member.replica.state.documents["k"].GetVersion(); member.replica.failure == nil && member.replica.core.HasAppliedCurrentTerm() && version < member.newest {
				t.Fatalf("seed %d, step %d: %d was acknowledged, %d is there", seed, step, member.newest, version)
			}
		}
		acked, starts, crashes = acked+member.ackedPuts, starts+member.starts, crashes+member.crashes
	}
	t.Logf("%d acknowledged, %d starts, %d crashes in a write", acked, starts, crashes)
	if acked < 2000 || starts < 1000 || crashes < 200 {
		t.Errorf("%d acknowledged, %d starts, %d crashes in a write: the test doesn't reach enough", acked, starts, crashes)
	}
}
