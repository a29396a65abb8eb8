package controlstate

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// Defects that a simulator can build into the simulated system on request, to verify that its checks detect them.
const (
	defectBlankVote           = "blank member votes"                   // a member that lost its disk votes before it has caught up
	defectStaleWatchResponse  = "watch ignores unapplied entries"      // watch responses ignore newer versions in unapplied log entries
	defectStaleWatchAfterKill = "watch ignores unapplied after a kill" // watch responses ignore newer versions in unapplied entries, but only in the polls right after the leader is killed
	defectStaleView           = "published view lacks unapplied"       // a group's published view ignores newer versions in unapplied log entries
	defectLateLease           = "lease measured from response"         // a holder measures its lease from the response instead of the request, plus lateLeaseExtension
	defectDeadTimer           = "election timer stopped"               // the election timer of a follower stops once it knows a leader
	defectLostPoll            = "long poll not renewed"                // the agent stops polling a member whose process was killed during a poll
	defectSameIncarnation     = "incarnation reused after a disk loss" // a member that lost its disk returns under its old incarnation
)

// lateLeaseExtension is the time that defectLateLease adds to a lease.
const lateLeaseExtension = 2 * time.Second

// Durations after which simulated clients stop waiting for a response.
const (
	responseTimeout = 10 * time.Second       // maximum wait for the response to a request
	pollTime        = 300 * time.Millisecond // duration of a long poll if there is no newer version
)

// simBase is the common part of the simulators of a shard (shardSim) and of a group (groupSim): virtual time,
// seeded random numbers, messages in flight, pending client calls, lease holders, and the record of a run.
type simBase struct {
	seed         uint64
	random       *rand.Rand
	now          time.Duration
	inFlight     []simMessage
	sentMessages int
	partitioned  map[string]bool // links that drop all messages, by "from>to"
	lossRate     float64         // probability that a message, request or response is lost
	inProgress   []func() bool   // pending calls, run in each step until they return false
	reads        []*simRead
	leaseHolders []*simLeaseHolder
	trace        []string       // log of the run, printed if a check fails
	violations   []string       // failed checks, oldest first
	counts       map[string]int // number of occurrences of each event
	defect       string         // defect that is built in on purpose, one of the defect constants; empty: none
}

// newSimBase returns the base of a simulator. Each simulator passes a different stream, so that simulators with the
// same seed draw different random numbers.
func newSimBase(seed, stream uint64, defect string) simBase {
	return simBase{seed: seed, random: rand.New(rand.NewPCG(seed, stream)), partitioned: map[string]bool{}, counts: map[string]int{}, defect: defect}
}

// simMessage is a message in flight. Messages with the same delivery time arrive in the order in which they were sent.
type simMessage struct {
	deliverAt time.Duration
	sequence  int
	message   *wire.Message
}

// simRead is a completed read of the document that simulated clients change and read.
type simRead struct {
	version            uint64
	body               string
	sentAt, answeredAt time.Duration
}

// simLeaseHolder is a client that requests the lease through the production controlclient.Lease, with a drifting
// clock.
type simLeaseHolder struct {
	lease          *controlclient.Lease
	clock          *clock.Manual
	clockRate      float64
	requestPending bool
	pausedUntil    time.Duration // the client sends no request before this time
}

// Drift of the clocks and duration of the leases in a simulation.
const (
	clockDrift  = 0.03            // the clocks of nodes and lease holders run at rates from 1-clockDrift to 1+clockDrift
	simLeaseTTL = 3 * time.Second // duration of a granted lease
)

// tracef appends a line with the virtual time to the trace.
func (s *simBase) tracef(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

// violationf records a failed check of the simulation with the given message.
func (s *simBase) violationf(format string, a ...any) {
	s.tracef("failed check: "+format, a...)
	s.violations = append(s.violations, fmt.Sprintf(format, a...))
}

// count counts an occurrence of an event.
func (s *simBase) count(event string) { s.counts[event]++ }

// randomClockRate draws the rate of a drifting clock.
func (s *simBase) randomClockRate() float64 { return 1 - clockDrift + 2*clockDrift*s.random.Float64() }

// randomBelow draws a duration from zero up to, but not including, the limit.
func (s *simBase) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// takeInFlight removes and returns all messages in flight, in order of delivery.
func (s *simBase) takeInFlight() []simMessage {
	sort.SliceStable(s.inFlight, func(i, j int) bool {
		a, b := s.inFlight[i], s.inFlight[j]
		return a.deliverAt < b.deliverAt || a.deliverAt == b.deliverAt && a.sequence < b.sequence
	})
	all := s.inFlight
	s.inFlight = nil
	return all
}

// addLeaseHolders adds clients that compete for one lease. Their names are stored in log entries: names of another
// length would change when logs are compacted, and thereby the run that a seed produces.
func (s *simBase) addLeaseHolders(count int) {
	for i := range count {
		holder := &simLeaseHolder{clock: &clock.Manual{}, clockRate: s.randomClockRate()}
		holder.lease = controlclient.NewLease(nil, holder.clock, "site", 0, fmt.Sprintf("holder-%d", i+1), simLeaseTTL)
		s.leaseHolders = append(s.leaseHolders, holder)
	}
}

// advanceLeaseHolders advances the drifting clocks of the lease holders by one step of virtual time.
func (s *simBase) advanceLeaseHolders(step time.Duration) {
	for _, holder := range s.leaseHolders {
		holder.clock.Time += time.Duration(float64(step) * holder.clockRate)
	}
}

// checkLeaseHolders checks that at most one client considers itself the holder of the lease.
func (s *simBase) checkLeaseHolders() {
	holders := 0
	for _, holder := range s.leaseHolders {
		if _, ok := holder.lease.FencingToken(); ok {
			holders++
		}
	}
	if holders > 1 {
		s.violationf("%d clients hold the lease at the same time, want at most 1", holders)
	}
}

// drawLeaseHolder draws the client that requests the lease now. It returns nil if that client is paused or has a
// request pending. With a probability of 1 in 40 the client is paused after this request.
func (s *simBase) drawLeaseHolder() *simLeaseHolder {
	holder := s.leaseHolders[s.random.IntN(len(s.leaseHolders))]
	if holder.pausedUntil > s.now || holder.requestPending {
		return nil
	}
	if s.random.IntN(40) == 0 {
		holder.pausedUntil = s.now + s.randomBelow(8*time.Second)
	}
	return holder
}

// setRequestPending prevents further requests of a client until it gives up on the current one.
func (s *simBase) setRequestPending(holder *simLeaseHolder) {
	const giveUpAfter = simLeaseTTL / 2
	startedAt := s.now
	holder.requestPending = true
	s.inProgress = append(s.inProgress, func() bool {
		holder.requestPending = s.now-startedAt < giveUpAfter
		return holder.requestPending
	})
}

// handleLeaseResponse passes a response to the client's lease, which lasts from the time of the request.
func (s *simBase) handleLeaseResponse(holder *simLeaseHolder, requestedAt time.Duration, response *wire.ChangeResponse) {
	if s.defect == defectLateLease {
		requestedAt = holder.clock.Now() + lateLeaseExtension
	}
	holder.lease.HandleResponse(requestedAt, response)
	if response.Outcome == wire.OutcomeDone {
		s.count("lease granted")
	}
}

// runPendingCalls runs all pending calls once. Calls that are added while it runs, by the handler of a response for
// example, run from the next step on.
func (s *simBase) runPendingCalls() {
	calls := s.inProgress
	s.inProgress = nil
	for _, call := range calls {
		if call() {
			s.inProgress = append(s.inProgress, call)
		}
	}
}

// lastTrace returns the last lines of the trace, for the message of a failed test.
func (s *simBase) lastTrace(lines int) string {
	return strings.Join(s.trace[max(0, len(s.trace)-lines):], "\n")
}

// awaitResponse calls done with the response: in the next step if there is one already, otherwise when it arrives on
// the pending channel. It gives up if the process that received the request ends first, or after responseTimeout.
func (s *simBase) awaitResponse(response *wire.ChangeResponse, pending <-chan *wire.ChangeResponse, isSameProcess func() bool, done func(*wire.ChangeResponse)) {
	startedAt := s.now
	s.inProgress = append(s.inProgress, func() bool {
		if response == nil {
			select {
			case response = <-pending:
			default:
				return isSameProcess() && s.now-startedAt < responseTimeout
			}
		}
		if isSameProcess() {
			done(response)
		}
		return false
	})
}
