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

// Faults that the simulators plant on purpose, to see that their checks find them.
const (
	plantedBlankVote       = "vote-blank"       // a member that lost its disk votes at once
	plantedStaleConfirm    = "vouch-unsettled"  // a member overlooks what its log holds and it hasn't applied
	plantedKillConfirm     = "vouch-killed"     // the same, in the polls that follow a leader's kill alone
	plantedStaleView       = "vouch-open"       // the same, of a group's published view
	plantedLateLease       = "lease-late"       // a holder counts its lease from the answer, and longer
	plantedDeadTimer       = "timer-dead"       // the election timer of a member that has known a leader never fires again
	plantedLostPoll        = "poll-lost"        // an edge never renews a poll whose member was killed
	plantedSameIncarnation = "same-incarnation" // a member that lost its disk comes back as the same member
)

// plantedLateLeaseSurplus is by how much plantedLateLease lengthens a lease.
const plantedLateLeaseSurplus = 2 * time.Second

// answerTimeout is how long a simulated client waits for an answer; pollTime is how long a long poll is
// held open.
const (
	answerTimeout = 10 * time.Second
	pollTime      = 300 * time.Millisecond
)

// simBase is what the simulators of a shard and of a group have in common: virtual time, seeded
// draws, messages in flight, calls in progress, holders of a lease, and what is recorded of a run.
type simBase struct {
	seed         uint64
	random       *rand.Rand
	now          time.Duration
	inFlight     []simMessage
	sentMessages int
	partitioned  map[string]bool // links that carry nothing, by "from>to"
	lossRate     float64         // of messages, requests and answers
	inProgress   []func() bool   // calls under way; each returns false once it has ended
	reads        []*simRead
	leaseHolders []*simLeaseHolder
	trace        []string
	violations   []string
	counts       map[string]int
	plantedFault string
}

// newSimBase draws from a stream of its own, so that the simulators differ for one seed.
func newSimBase(seed, stream uint64, plantedFault string) simBase {
	return simBase{seed: seed, random: rand.New(rand.NewPCG(seed, stream)), partitioned: map[string]bool{}, counts: map[string]int{}, plantedFault: plantedFault}
}

// simMessage is a message on its way. Those due at the same time arrive in the order in which they
// were sent.
type simMessage struct {
	deliverAt time.Duration
	sequence  int
	message   *wire.Message
}

// simRead is an answered read.
type simRead struct {
	version            uint64
	body               string
	sentAt, answeredAt time.Duration
}

// simLeaseHolder requests a lease by the product's controlclient.Lease, with a clock that drifts.
type simLeaseHolder struct {
	lease          *controlclient.Lease
	clock          *clock.Manual
	clockRate      float64
	requestPending bool
	pausedUntil    time.Duration
}

// Holders' clocks run at a rate from 1-clockDrift to 1+clockDrift, as those of machines do; what a
// lease lasts is simLeaseTTL.
const (
	clockDrift  = 0.03
	simLeaseTTL = 3 * time.Second
)

func (s *simBase) tracef(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

// violationf records that something happened that must not.
func (s *simBase) violationf(format string, a ...any) {
	s.tracef("VIOLATION "+format, a...)
	s.violations = append(s.violations, fmt.Sprintf(format, a...))
}

func (s *simBase) count(event string) { s.counts[event]++ }

func (s *simBase) randomClockRate() float64 { return 1 - clockDrift + 2*clockDrift*s.random.Float64() }

// randomBelow draws a duration from zero to just below a limit.
func (s *simBase) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// takeInFlight gives all messages on their way, in the order in which they arrive.
func (s *simBase) takeInFlight() []simMessage {
	sort.SliceStable(s.inFlight, func(i, j int) bool {
		a, b := s.inFlight[i], s.inFlight[j]
		return a.deliverAt < b.deliverAt || a.deliverAt == b.deliverAt && a.sequence < b.sequence
	})
	all := s.inFlight
	s.inFlight = nil
	return all
}

// addLeaseHolders adds holders of one lease. Its name is part of the log: with a longer one logs are compacted
// at other times, and seeds give other runs.
func (s *simBase) addLeaseHolders(count int) {
	for i := range count {
		holder := &simLeaseHolder{clock: &clock.Manual{}, clockRate: s.randomClockRate()}
		holder.lease = controlclient.NewLease(nil, holder.clock, "site", 0, fmt.Sprintf("holder-%d", i+1), simLeaseTTL)
		s.leaseHolders = append(s.leaseHolders, holder)
	}
}

func (s *simBase) advanceLeaseHolders(step time.Duration) {
	for _, holder := range s.leaseHolders {
		holder.clock.Time += time.Duration(float64(step) * holder.clockRate)
	}
}

// checkLeaseHolders checks that no two holders hold the lease at a time.
func (s *simBase) checkLeaseHolders() {
	holders := 0
	for _, holder := range s.leaseHolders {
		if _, ok := holder.lease.FencingToken(); ok {
			holders++
		}
	}
	if holders > 1 {
		s.violationf("%d hold the lease at once", holders)
	}
}

// nextLeaseRequest draws a holder that requests the lease now; nil: the one that was drawn waits for an
// answer or is paused. At times a holder freezes after its request.
func (s *simBase) nextLeaseRequest() *simLeaseHolder {
	holder := s.leaseHolders[s.random.IntN(len(s.leaseHolders))]
	if holder.pausedUntil > s.now || holder.requestPending {
		return nil
	}
	if s.random.IntN(40) == 0 {
		holder.pausedUntil = s.now + s.randomBelow(8*time.Second)
	}
	return holder
}

// awaitLeaseAnswer has a holder send no other request until it gives up this one.
func (s *simBase) awaitLeaseAnswer(holder *simLeaseHolder) {
	const giveUpAfter = simLeaseTTL / 2
	begun := s.now
	holder.requestPending = true
	s.inProgress = append(s.inProgress, func() bool {
		holder.requestPending = s.now-begun < giveUpAfter
		return holder.requestPending
	})
}

// handleLeaseAnswer passes an answer to the holder's lease, which counts from the time of the request.
func (s *simBase) handleLeaseAnswer(holder *simLeaseHolder, requestedAt time.Duration, response *wire.ChangeResponse) {
	if s.plantedFault == plantedLateLease {
		requestedAt = holder.clock.Now() + plantedLateLeaseSurplus
	}
	holder.lease.HandleResponse(requestedAt, response)
	if response.Outcome == wire.OutcomeDone {
		s.count("granted")
	}
}

// continueCalls lets every call in progress act. Calls that begin meanwhile, as in the handling of an answer, act
// from the next step on.
func (s *simBase) continueCalls() {
	calls := s.inProgress
	s.inProgress = nil
	for _, call := range calls {
		if call() {
			s.inProgress = append(s.inProgress, call)
		}
	}
}

// lastTrace is the end of the trace, for a failure's message.
func (s *simBase) lastTrace(lines int) string {
	return strings.Join(s.trace[max(0, len(s.trace)-lines):], "\n")
}

// awaitResponse calls done with a response in the next step, or when it comes, unless the process
// that was asked ends before, or answerTimeout passes.
func (s *simBase) awaitResponse(response *wire.ChangeResponse, pending <-chan *wire.ChangeResponse, isSameProcess func() bool, done func(*wire.ChangeResponse)) {
	begun := s.now
	s.inProgress = append(s.inProgress, func() bool {
		if response == nil {
			select {
			case response = <-pending:
			default:
				return isSameProcess() && s.now-begun < answerTimeout
			}
		}
		if isSameProcess() {
			done(response)
		}
		return false
	})
}
