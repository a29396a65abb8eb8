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

// singleMember is a group with a single member on an unreliable disk. The disk holds the only copy of the data.
type singleMember struct {
	random    *rand.Rand
	disk      *cacheDisk
	replica   *shard
	newest    uint64 // highest acknowledged version of the document
	starts    int
	crashes   int // number of crashes of the process during a write
	ackedPuts int
}

// newSingleMember starts a group with a single member on an empty disk.
func newSingleMember(seed uint64) *singleMember {
	random := rand.New(rand.NewPCG(seed, 3))
	m := &singleMember{random: random, disk: newCacheDisk(random)}
	m.start()
	return m
}

// start starts the process, which recovers from the disk.
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

// tick runs the member for a number of ticks. If the process crashes during a write, it is restarted, sometimes after a
// power loss.
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

// restart restarts the process, half of the time after a power loss.
func (m *singleMember) restart() {
	if m.random.IntN(2) == 0 {
		m.disk.losePower()
	}
	m.start()
}

// injectFault makes writes fail or succeed again, schedules a crash of the process during one of the next writes, or
// restarts the process. Half of the time it does nothing.
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

// put proposes a change and runs the member for one tick. It returns the response, or nil if there is none after that
// tick, and whether the process survived the tick.
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

// A group with a single member keeps all acknowledged changes through process crashes, power losses and failed writes
// and syncs, and accepts changes again as soon as its disk accepts writes.
func TestAcknowledgedChangesAreDurable(t *testing.T) {
	acked, starts, crashes := 0, 0, 0
	for seed := range uint64(400) {
		member := newSingleMember(seed)
		for step := range 60 {
			member.injectFault()
			member.tick(1 + member.random.IntN(30))
			diskWorks := step%10 == 9
			if diskWorks {
				member.disk.failWrites = false
				member.tick(60)
			}
			response, survived := member.put(fmt.Append(nil, step))
			failed := response.GetOutcome() != wire.OutcomeDone && member.disk.writesUntilCrash < 0 && survived
			if diskWorks && (member.replica.failure != nil || failed) {
				t.Fatalf("seed %d, step %d: change failed although the disk accepts writes: member failure %v, response %v", seed, step, member.replica.failure, response)
			}
			if version := member.replica.state.documents["k"].GetVersion(); member.replica.failure == nil && member.replica.core.HasAppliedCurrentTerm() && version < member.newest {
				t.Fatalf("seed %d, step %d: document version %d was acknowledged, but the member holds version %d", seed, step, member.newest, version)
			}
		}
		acked, starts, crashes = acked+member.ackedPuts, starts+member.starts, crashes+member.crashes
	}
	t.Logf("%d changes acknowledged, %d process starts, %d crashes during a write", acked, starts, crashes)
	if acked < 2000 || starts < 1000 || crashes < 200 {
		t.Errorf("test covered too little: %d changes acknowledged, %d process starts, %d crashes during a write; want at least 2000, 1000 and 200", acked, starts, crashes)
	}
}
