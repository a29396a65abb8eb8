package selection

// The parameters of the selection, one group for each concern. They are read-only: TestTuningIsInRange
// holds each to the range that its comment gives. "Heal bound" is settings.Bounds.HealMs, and "target" is
// the latency target of the request's route. Where a value was measured, the comment names the entries
// in journal/; their figures are of the simulated sites there.

// affinityParameters weighs the copies of a part that workers cache. A part that the placement doesn't
// replicate has one home, by rendezvous hashing; a copy elsewhere evicts other parts. Weights are ratios of
// what prefilling the prompt up to the deciding part costs.
type affinityParameters struct {
	// homeLoadRatio is the multiple of the workers' mean load up to which a worker may be a home; one
	// request more is always allowed. Range: 1 to 4. Lower spreads load, higher keeps parts at one worker.
	// Source: docs/design.md (1.25 of the mean, plus one).
	homeLoadRatio float64
	// homeSlotRatio is the share of a worker's slots that is added to that load, so that a home with many
	// slots isn't avoided for a few requests. Range: 0 to 1. Chosen, not measured.
	homeSlotRatio float64
	// coldWeight is charged to other workers than the home while no worker caches the part, so that it is
	// read once. Range: 0 to 1. Higher avoids reading a part twice, lower avoids waiting at its home.
	// Source: docs/design.md (three quarters).
	coldWeight float64
	// copyWeight is charged to a worker without the part while another caches it. Range: 0 to 1. Higher
	// avoids copies, lower spreads load. Measured: 0.15, 0.4 and 0.3 in journal/20261202T032312 to
	// 20261202T032314, T032354 to T032356 and T032441 to T032443.
	copyWeight float64
	// copyElsewhereWeight is charged on top of copyWeight if the worker isn't the part's home, so that
	// edge machines make copies at the same worker. Range: 0 to 1. Chosen, not measured.
	copyElsewhereWeight float64
	// duplicatePrefillRatio is the cost of reading one token that another worker caches already, as a ratio of the
	// target: the time that is lost to other requests, and the parts that are evicted.
	// Range: above 0, to 0.001. Higher favors transfers and waiting over prefill. Chosen, not measured.
	duplicatePrefillRatio float64
}

var affinityTuning = affinityParameters{
	homeLoadRatio:         1.25,
	homeSlotRatio:         1.0 / 16,
	coldWeight:            0.75,
	copyWeight:            0.3,
	copyElsewhereWeight:   0.05,
	duplicatePrefillRatio: 1.0 / 12500,
}

// transferParameters weighs the transfer of cached parts between workers and stores, and of prompts between
// zones.
type transferParameters struct {
	// tokenWeight is the cost of transferring a token beside the time on the links, as a ratio of the cost
	// of reading it again. Range: 0 to 1. Higher avoids traffic. Chosen, not measured.
	tokenWeight float64
	// crossZoneMultiple is how many times as long a transfer between zones takes. Range: 1 to 10. Chosen,
	// not measured.
	crossZoneMultiple float64
	// presumedRiskRatio is the assumed probability that a source doesn't cache a part that it is presumed
	// to cache. Range: 0 to 1. Higher avoids fetches that fail, lower avoids prefill. Chosen, not measured.
	presumedRiskRatio float64
	// promptWeight is the cost of sending a prompt to another zone, for each token, as a ratio of the cost
	// of reading it again. Range: 0 to 1. Higher avoids traffic between zones, lower spreads load. Chosen,
	// not measured.
	promptWeight float64
	// maxSources is the number of workers that are compared as sources of a prompt. Range: 1 to 64. Higher
	// finds better sources, lower saves processor time: candidates times sources are compared. Chosen, not
	// measured.
	maxSources int
	// minSavedTokens is the number of shared tokens from which a prompt is worth saving in a store; from
	// twice as many a store is asked for them without knowing that it has them. Range: above 0. Chosen, not
	// measured.
	minSavedTokens float64
}

var transferTuning = transferParameters{
	tokenWeight:       0.011,
	crossZoneMultiple: 2,
	presumedRiskRatio: 0.15,
	promptWeight:      0.01,
	maxSources:        12,
	minSavedTokens:    128,
}

// loadParameters weighs a worker's load.
type loadParameters struct {
	// congestionWeight is the slowdown of a worker whose slots are all in use, as a ratio of the mean time
	// of an attempt. Range: 0 to 1. Higher spreads load, lower keeps requests where their prompt is cached.
	// Chosen, not measured.
	congestionWeight float64
	// tieBreakRatio is the greatest cost that the hash of request and worker adds, as a ratio of the
	// target, so that edge machines don't all select the same of equal workers. Range: 0 to 0.1. Chosen,
	// not measured.
	tieBreakRatio float64
	// decayRatio is the age at which a report of load, or of lateness, has decayed to 3/8, as a ratio of
	// the heal bound. Range: above 0, to 1. Higher trusts old reports longer. Chosen, not measured.
	decayRatio float64
	// sampleWeight is the weight of the newest sample in moving averages of a service: load of others,
	// tokens of a prompt, time of an attempt. Range: above 0, to 1. Higher adapts sooner, lower is
	// steadier. Chosen, not measured.
	sampleWeight float64
	// maxWaitRatio is the wait at the best worker, as a ratio of the target, above which a request isn't
	// sent: the client is asked to retry after that wait. Range: above 0. Lower ends an overload sooner,
	// higher rejects less. Measured: 2, 1 and 0.5 in journal/20261202T034430 to T034501, T034554 to T034704
	// and T034823 to T034900.
	maxWaitRatio float64
	// defaultTargetRatio is the target of a request whose route has none, as a ratio of the heal bound.
	// Range: above 0, to 1. Chosen, not measured.
	defaultTargetRatio float64
}

var loadTuning = loadParameters{
	congestionWeight:   0.25,
	tieBreakRatio:      0.01,
	decayRatio:         1.0 / 24,
	sampleWeight:       0.1,
	maxWaitRatio:       0.5,
	defaultTargetRatio: 1.0 / 30,
}

// ejectionParameters bounds the ejection of workers that fail: by this edge machine's own attempts, and by
// the outcomes that all edge machines share.
type ejectionParameters struct {
	// maxEjectedRatio is the share of a service's usable workers that may be ejected at once. Range: 0 to
	// 0.5. Higher avoids more failing workers, lower keeps capacity. Chosen, not measured.
	maxEjectedRatio float64
	// baseTimeRatio is the first ejection's time; it doubles with each failure. Ratio of the heal bound;
	// range: above 0, to maxTimeRatio. Chosen, not measured.
	baseTimeRatio float64
	// maxTimeRatio bounds an ejection's time. Ratio of the heal bound; range: baseTimeRatio to 1, so that
	// service is restored within the bound. Chosen, not measured.
	maxTimeRatio float64
	// maxDoublings bounds how often the time doubles. Range: 0 to 16. Chosen, not measured.
	maxDoublings int
	// failureMultiple is how many times its ratio of failures is added to the time of an ejection.
	// Range: 0 to 8. Chosen, not measured.
	failureMultiple float64
	// sampleWeight is the weight of the newest outcome in a worker's ratio of failures. Range: above 0, to
	// 1. Chosen, not measured.
	sampleWeight float64

	// outcomeDecayRatio is the age at which a shared outcome has decayed to 3/8. Ratio of the heal bound;
	// range: above 0, to 1. Chosen, not measured.
	outcomeDecayRatio float64
	// minFailures is the number of recent failures, of all edge machines, from which a worker is suspect.
	// Range: above 1, so that a single failure ejects no worker. Lower reacts sooner. Chosen, not measured.
	minFailures float64
	// minFailureRatio is the share of its outcomes that have to be failures. Range: 0 to 1. Chosen, not
	// measured.
	minFailureRatio float64
	// peerMultiple is how many times the failure ratio of its peers a suspect worker's has to be, so that
	// a failure of all workers ejects none. Range: above 1. Chosen, not measured.
	peerMultiple float64
	// suspectTimeRatio is how long a suspect worker is ejected after each report. Ratio of the heal bound;
	// range: above 0, to maxTimeRatio. Chosen, not measured.
	suspectTimeRatio float64
	// overdueMultiple is the multiple of the expected time after which a first event is overdue, but never
	// before the target. Range: above 1. Lower finds silent workers sooner, higher spares slow ones.
	// Chosen, not measured.
	overdueMultiple float64
}

var ejectionTuning = ejectionParameters{
	maxEjectedRatio:   1.0 / 3,
	baseTimeRatio:     1.0 / 48,
	maxTimeRatio:      0.5,
	maxDoublings:      8,
	failureMultiple:   2,
	sampleWeight:      0.2,
	outcomeDecayRatio: 0.1,
	minFailures:       1.5,
	minFailureRatio:   0.2,
	peerMultiple:      3,
	suspectTimeRatio:  1.0 / 48,
	overdueMultiple:   4,
}

// slowStartParameters weighs a worker that comes back after an ejection.
type slowStartParameters struct {
	// cost is charged to a worker that has just come back, as a ratio of the target; it falls to 0 within
	// the time that the worker was ejected for. Range: 0 to 1. Higher sends it fewer requests at first.
	// Chosen, not measured.
	cost float64
}

var slowStartTuning = slowStartParameters{cost: 0.5}

// avoidanceParameters bounds how long a worker is avoided after it rejected an attempt that it didn't
// execute. All are ratios of the heal bound; range: above 0, to 0.5. Higher saves rejected attempts,
// lower notices sooner that the worker accepts requests again. Chosen, not measured.
type avoidanceParameters struct {
	noFreeSlotRatio  float64 // it had no free slot
	notReadyRatio    float64 // it served other weights, or carried out an order
	misdirectedRatio float64 // another worker had its address
}

var avoidanceTuning = avoidanceParameters{
	noFreeSlotRatio:  1.0 / 96,
	notReadyRatio:    1.0 / 24,
	misdirectedRatio: 1.0 / 12,
}

// rolloutParameters says how requests move to newer weights. The weights bound is settings.Bounds.WeightsMs,
// within which no request may start on older weights any more.
type rolloutParameters struct {
	// olderVersionRatio is how long after newer weights were named an older version may be selected.
	// Ratio of the weights bound; range: 0 to below 1, so that a request starts within the bound. Source:
	// docs/design.md (0.85 of the bound).
	olderVersionRatio float64
	// inheritedRatio is the time after this process's start within which a version counts as named before
	// it. Ratio of the heal bound; range: 0 to 1. Chosen, not measured.
	inheritedRatio float64
	// contactRatio is how long after its start a machine isn't in contact, so that the weights bound doesn't
	// apply to it. Ratio of the site's contact window; range: 0 to 1. Chosen, not measured.
	contactRatio float64
	// minNewestRatio is the share of the workers that serve the newest version from which prompts are
	// assigned to it. Range: 0 to 1. Higher protects the first workers from too many requests. Chosen, not
	// measured.
	minNewestRatio float64
	// assignedMultiple is the share of prompts that are assigned to the newest version, as a multiple of
	// the share of the workers that serve it. Range: 1 to 2. Higher drains the older ones sooner. Chosen,
	// not measured.
	assignedMultiple float64
	// assignedWeight is the cost of an older version for a prompt that is assigned to the newest, as a
	// ratio of the time of prefilling the shared parts. Range: 0 to 5. Higher drains the older ones sooner,
	// lower avoids the queue of the newer ones. Measured: 1, 3 and 0.3 in journal/20261202T032749 to
	// T032751, T032901 to T032905 and T033020 to T033024.
	assignedWeight float64
}

var rolloutTuning = rolloutParameters{
	olderVersionRatio: 0.85,
	inheritedRatio:    1.0 / 6,
	contactRatio:      0.8,
	minNewestRatio:    1.0 / 7,
	assignedMultiple:  1.3,
	assignedWeight:    1,
}

// indexWaitParameters bounds how long a request waits for the prompt index.
type indexWaitParameters struct {
	// targetRatio is the wait as a ratio of the request's target. Range: 0 to 1. Higher finds more cached
	// parts, lower leaves more of the target to the worker. Measured: journal/20261202T031652,
	// 20261202T031820 and 20261202T032043 (an eighth).
	targetRatio float64
	// minRatio and maxRatio bound the wait; the wait is the greatest without a target. Ratios of the heal
	// bound; range: above 0, minRatio to 0.1. Chosen, not measured.
	minRatio, maxRatio float64
}

var indexWaitTuning = indexWaitParameters{
	targetRatio: 1.0 / 8,
	minRatio:    1.0 / 2400,
	maxRatio:    1.0 / 150,
}

// recordParameters says how long this edge machine's own records of parts count. All are ratios of the heal
// bound; range: above 0.
type recordParameters struct {
	// prefillRatio is the time within which a worker has read a prompt that was sent to it; until then its
	// parts can't be fetched from there. Chosen, not measured.
	prefillRatio float64
	// lookupRatio is the age of a confirmed holder from which the index is asked again. Higher saves
	// lookups, lower learns sooner of copies elsewhere. Chosen, not measured.
	lookupRatio float64
	// indexLagRatio is the time within which the index knows of what a worker dropped: a record that is
	// older doesn't count if the index knows the part. That records give way to the index was measured
	// (journal/20261202T031717 and T031718); the value was chosen.
	indexLagRatio float64
	// lifetimeRatio is the age at which a record stops counting in any case. Chosen, not measured.
	lifetimeRatio float64
	// savedRatio is how long a part that was sent to a store counts as saved there. Chosen, not measured.
	savedRatio float64
}

var recordTuning = recordParameters{
	prefillRatio:  1.0 / 24,
	lookupRatio:   1.0 / 8,
	indexLagRatio: 1.0 / 8,
	lifetimeRatio: 2,
	savedRatio:    1,
}

// estimatorParameters is the prior of the estimated times of first events, and how samples move them.
type estimatorParameters struct {
	// priorFirstEventRatio is the assumed time to the first event of an empty prompt, and priorTokenRatio
	// what each token adds. Ratios of the heal bound; range: above 0. Chosen, not measured.
	priorFirstEventRatio, priorTokenRatio float64
	// priorSamples is how many samples of an empty prompt, and of one with priorTokens, the prior counts
	// as. Range: 1 to 100 samples; above 0 tokens. Higher adapts later. Chosen, not measured.
	priorSamples int
	priorTokens  float64
	// maxMultiple bounds estimates and samples: from 1/maxMultiple to maxMultiple of the prior, or of the
	// estimate. Range: above 1. Higher adapts to faster and slower workers, lower is steadier. Chosen, not
	// measured.
	maxMultiple float64
	// sampleDecay is the weight of a sample relative to the next one of its service. Range: above 0,
	// below 1. Higher is steadier. Chosen, not measured.
	sampleDecay float64
	// slownessWeight is the weight of the newest sample in a worker's slowness, and slownessDecayRatio the
	// age at which a slowness has decayed to 3/8, a ratio of the heal bound. Range: above 0, to 1. Chosen,
	// not measured.
	slownessWeight, slownessDecayRatio float64
	// minSlowness is the natural logarithm of the least slowness that counts: smaller differences between
	// workers are noise. Range: 0 to 0.5. Chosen, not measured.
	minSlowness float64
}

var estimatorTuning = estimatorParameters{
	priorFirstEventRatio: 1.0 / 400,
	priorTokenRatio:      1.0 / 1200000,
	priorSamples:         3,
	priorTokens:          10000,
	maxMultiple:          4,
	sampleDecay:          0.98,
	slownessWeight:       0.2,
	slownessDecayRatio:   0.5,
	minSlowness:          0.02,
}

// sizeParameters divides prompts into classes by the share of the target that prefilling takes; within one
// priority the smaller class goes first. Range: above 0, smallRatio below mediumRatio. That classes
// raise the worth of a busy day was measured (journal/20261202T033313 and T033314, T033508 and T033509);
// where they are divided was chosen.
type sizeParameters struct {
	smallRatio  float64 // below it: the first class
	mediumRatio float64 // below it: the second class
}

var sizeTuning = sizeParameters{smallRatio: 1.0 / 16, mediumRatio: 3.0 / 16}

// Bounds of memory. Chosen, not measured.
const (
	maxParts         = 60   // parts of a prompt that are looked at: a set of parts is a uint64
	maxRecentHolders = 3    // holders of a part that this edge machine itself remembers
	maxPartRecords   = 4096 // in each of two generations
	maxSelected      = 4096 // selections that weren't sent yet, in each of two generations
	maxModels        = 64   // models whose versions are kept for a service: clients may name any
)

// zeroThreshold is the magnitude below which averages are set to 0: the processor is slow with denormal
// numbers.
const zeroThreshold = 1e-6
