package selection

// Parameters of the selection, one struct for each concern. They are read-only, and TestTuningIsInRange checks
// each against the range in its comment. "Recovery time limit" is settings.Bounds.HealMs, the time within
// which service is restored after a fault; "latency target" is that of the request's route. Entries in
// journal/ are records of runs against simulated sites.

// affinityParameters weigh the copies of a prompt part in the workers' caches. A part that the cache placement
// doesn't replicate has one home worker, by rendezvous hashing; a copy elsewhere evicts other parts. Weights
// are ratios of the cost of prefilling the prompt up to the end of its affinity part.
type affinityParameters struct {
	// homeLoadRatio is the multiple of the workers' mean load up to which a worker may be the home of a part;
	// one request more is always allowed. Range: 1 to 4. Lower values spread load, higher values keep parts at
	// one worker. Source: docs/design.md (1.25 times the mean, plus one).
	homeLoadRatio float64
	// homeSlotRatio is the fraction of a worker's slots that is added to the load limit for home workers, so
	// that a worker with many slots isn't avoided for a few requests. Range: 0 to 1.
	homeSlotRatio float64
	// coldWeight is the cost charged to workers other than the home while no worker caches the part, so that
	// the part is prefilled only once. Range: 0 to 1. Higher values avoid duplicate prefill, lower values
	// avoid waiting for the home worker. Source: docs/design.md (three quarters).
	coldWeight float64
	// copyWeight is the cost charged to a worker that lacks the part while another worker caches it. Range: 0
	// to 1. Higher values avoid copies, lower values spread load. The values 0.15, 0.4 and 0.3 were compared
	// in simulation: journal/20261202T032312 to 20261202T032314, T032354 to T032356 and T032441 to T032443.
	copyWeight float64
	// copyElsewhereWeight is charged in addition to copyWeight if the worker isn't the part's home, so that
	// all edge machines make copies at the same worker. Range: 0 to 1.
	copyElsewhereWeight float64
	// duplicatePrefillRatio is the extra cost of prefilling one token that another worker already caches, as a
	// ratio of the latency target. It accounts for the time that other requests lose and for the parts that
	// are evicted. Range: above 0, to 0.001. Higher values favor transfers and waiting over prefill.
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

// transferParameters weigh transfers of cached parts between workers and stores, and of prompts between zones.
type transferParameters struct {
	// tokenWeight is the cost of transferring a token in addition to the time that the links are busy, as a
	// ratio of duplicatePrefillRatio. Range: 0 to 1. Higher values avoid network traffic.
	tokenWeight float64
	// crossZoneMultiple is how many times longer a transfer takes between zones than within one. Range: 1 to
	// 10.
	crossZoneMultiple float64
	// presumedRiskRatio is the assumed probability that a source lacks a part that it is only presumed to
	// cache. Range: 0 to 1. Higher values avoid fetches that fail, lower values avoid prefill.
	presumedRiskRatio float64
	// promptWeight is the cost per token of sending a prompt to another zone, as a ratio of
	// duplicatePrefillRatio. Range: 0 to 1. Higher values avoid traffic between zones, lower values spread
	// load.
	promptWeight float64
	// maxSources is the maximum number of workers that are considered as sources of a prompt's parts. Range: 1
	// to 64. Higher values find better sources, lower values save CPU time, since each source is compared for
	// each candidate.
	maxSources int
	// minSavedTokens is the minimum number of shared tokens for which a prompt is saved in a store. A store
	// that is not known to have the parts is asked for them from twice this number. Range: above 0.
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

// loadParameters weigh the load of a worker.
type loadParameters struct {
	// congestionWeight is the slowdown of a worker whose slots are all in use, as a ratio of the mean duration
	// of an attempt. Range: 0 to 1. Higher values spread load, lower values keep requests where their prompt
	// is cached.
	congestionWeight float64
	// tieBreakRatio is the maximum cost derived from the hash of request and worker, as a ratio of the latency
	// target. It keeps edge machines from all selecting the same one of several equal workers. Range: 0 to
	// 0.1.
	tieBreakRatio float64
	// decayRatio is the age at which the weight of a load report or a lateness sample has decayed to 3/8 (see
	// decayWeight), as a ratio of the recovery time limit. Range: above 0, to 1. Higher values trust old
	// reports longer.
	decayRatio float64
	// sampleWeight is the weight of the newest sample in a service's moving averages of other edge machines'
	// load, prompt tokens and attempt duration. Range: above 0, to 1. Higher values adapt faster, lower values
	// are more stable.
	sampleWeight float64
	// maxWaitRatio is the longest wait at the best worker for which a request is still sent, as a ratio of the
	// latency target; for a longer wait the client is asked to retry after it. Range: above 0. Lower values
	// end an overload sooner, higher values reject fewer requests. The values 2, 1 and 0.5 were compared in
	// simulation: journal/20261202T034430 to T034501, T034554 to T034704 and T034823 to T034900.
	maxWaitRatio float64
	// defaultTargetRatio is the latency target of requests whose route has none, as a ratio of the recovery
	// time limit. Range: above 0, to 1.
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

// ejectionParameters control the ejection of workers that fail, judged by the attempts of this edge machine
// and by the outcomes that all edge machines share.
type ejectionParameters struct {
	// maxEjectedRatio is the maximum fraction of a service's usable workers that are ejected at the same time.
	// Range: 0 to 0.5. Higher values avoid more failing workers, lower values preserve capacity.
	maxEjectedRatio float64
	// baseTimeRatio is the duration of a worker's first ejection, which doubles with each further failure, as
	// a ratio of the recovery time limit. Range: above 0, to maxTimeRatio.
	baseTimeRatio float64
	// maxTimeRatio is the maximum duration of an ejection, as a ratio of the recovery time limit. Range:
	// baseTimeRatio to 1, so that service is restored within that limit.
	maxTimeRatio float64
	// maxDoublings is the maximum number of times that the duration of ejections doubles. Range: 0 to 16.
	maxDoublings int
	// failureMultiple is by how much the failure ratio extends an ejection: its duration is multiplied by 1 +
	// failureMultiple * failure ratio. Range: 0 to 8.
	failureMultiple float64
	// sampleWeight is the weight of the newest outcome in the moving average of a worker's failure ratio.
	// Range: above 0, to 1.
	sampleWeight float64

	// outcomeDecayRatio is the age at which the weight of a shared outcome has decayed to 3/8 (see
	// decayWeight), as a ratio of the recovery time limit. Range: above 0, to 1.
	outcomeDecayRatio float64
	// minFailures is the minimum number of recent failures, over all edge machines, for which a worker is
	// ejected. Range: above 1, so that a single failure ejects no worker. Lower values react sooner.
	minFailures float64
	// minFailureRatio is the failure ratio that a worker has to exceed to be ejected by shared outcomes.
	// Range: 0 to 1.
	minFailureRatio float64
	// peerMultiple is the multiple of its peers' failure ratio that a worker's failure ratio has to exceed for
	// an ejection, so that failures common to all workers eject none. Range: above 1.
	peerMultiple float64
	// suspectTimeRatio is for how long each load report ejects a worker whose shared outcomes are bad, as a
	// ratio of the recovery time limit. Range: above 0, to maxTimeRatio.
	suspectTimeRatio float64
	// overdueMultiple is the multiple of its expected time after which a first response event is overdue; it
	// is never overdue before the latency target. Range: above 1. Lower values detect unresponsive workers
	// sooner, higher values tolerate slow ones.
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

// slowStartParameters weigh the cost of a worker that receives requests again after an ejection.
type slowStartParameters struct {
	// cost is charged to a worker whose ejection has just ended, as a ratio of the latency target; it falls to
	// 0 within as much time as the ejection lasted. Range: 0 to 1. Higher values send the worker fewer
	// requests at first.
	cost float64
}

var slowStartTuning = slowStartParameters{cost: 0.5}

// avoidanceParameters control for how long a worker is avoided after it rejected an attempt without executing
// it. All are ratios of the recovery time limit with the range above 0, to 0.5. Higher values save rejected
// attempts, lower values let workers that accept requests again be selected sooner.
type avoidanceParameters struct {
	// After a rejection because the worker had no free slot.
	noFreeSlotRatio float64
	// After a rejection because the worker served other weights or was executing a command.
	notReadyRatio float64
	// After a rejection because another worker instance had the address.
	misdirectedRatio float64
}

var avoidanceTuning = avoidanceParameters{
	noFreeSlotRatio:  1.0 / 96,
	notReadyRatio:    1.0 / 24,
	misdirectedRatio: 1.0 / 12,
}

// rolloutParameters control how requests move to newer model weights. The rollout time limit is
// settings.Bounds.WeightsMs: once this time has passed since newer weights were named, no request may start on
// older ones.
type rolloutParameters struct {
	// olderVersionRatio is for how long after newer weights were named an older version may be selected, as a
	// ratio of the rollout time limit. Range: 0 to below 1, so that a request starts within the limit. Source:
	// docs/design.md (0.85 of the limit).
	olderVersionRatio float64
	// inheritedRatio is the time after the process's start within which a version that is first seen counts as
	// named before the start, as a ratio of the recovery time limit. Range: 0 to 1.
	inheritedRatio float64
	// contactRatio is the time after the process's start during which the process counts as not in contact
	// with the control state, so that the rollout time limit doesn't apply to it. Ratio of the site's contact
	// window (settings.Site.ContactWindowMs); range: 0 to 1.
	contactRatio float64
	// minNewestRatio is the minimum fraction of workers that have to serve the newest version before prompts
	// are assigned to it. Range: 0 to 1. Higher values protect the first upgraded workers from overload.
	minNewestRatio float64
	// assignedMultiple determines the fraction of prompts that are assigned to the newest version, as a
	// multiple of the fraction of workers that serve it. Range: 1 to 2. Higher values drain workers on older
	// versions sooner.
	assignedMultiple float64
	// assignedWeight is the cost of an older version for a prompt that is assigned to the newest, as a ratio
	// of the time to prefill the shared parts. Range: 0 to 5. Higher values drain older versions sooner, lower
	// values avoid queues at workers on newer ones. The values 1, 3 and 0.3 were compared in simulation:
	// journal/20261202T032749 to T032751, T032901 to T032905 and T033020 to T033024.
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

// indexWaitParameters limit how long a request waits for a response of the prompt index.
type indexWaitParameters struct {
	// targetRatio is the maximum wait for the prompt index as a ratio of the request's latency target. Range:
	// 0 to 1. Higher values find more cached parts, lower values leave more of the latency target to the
	// worker. Simulation runs with 1/8: journal/20261202T031652, 20261202T031820 and 20261202T032043.
	targetRatio float64
	// minRatio and maxRatio limit the wait for the prompt index, as ratios of the recovery time limit; without
	// a latency target the wait is the maximum. Ranges: above 0, to maxRatio; minRatio to 0.1.
	minRatio, maxRatio float64
}

var indexWaitTuning = indexWaitParameters{
	targetRatio: 1.0 / 8,
	minRatio:    1.0 / 2400,
	maxRatio:    1.0 / 150,
}

// recordParameters control for how long this edge machine relies on its own records of prompt parts. All are
// ratios of the recovery time limit; range: above 0.
type recordParameters struct {
	// prefillRatio is the time within which a worker is assumed to finish the prefill of a prompt that was
	// sent to it; until then the prompt's parts can't be fetched from the worker.
	prefillRatio float64
	// lookupRatio is the age from which the record of a confirmed holder no longer replaces a lookup in the
	// prompt index. Higher values save lookups, lower values find copies at other workers sooner.
	lookupRatio float64
	// indexLagRatio is the time within which the prompt index learns that a worker evicted a part: if the
	// index knows the part, older records of this edge machine are ignored. Simulation runs that show the
	// benefit of preferring the index over old records: journal/20261202T031717 and T031718.
	indexLagRatio float64
	// lifetimeRatio is the age from which a record is ignored even if the prompt index doesn't know the part.
	lifetimeRatio float64
	// savedRatio is for how long a part that was sent to a store is presumed to be stored there.
	savedRatio float64
}

var recordTuning = recordParameters{
	prefillRatio:  1.0 / 24,
	lookupRatio:   1.0 / 8,
	indexLagRatio: 1.0 / 8,
	lifetimeRatio: 2,
	savedRatio:    1,
}

// estimatorParameters are the priors of the estimated times to first response events, and the weights of
// samples.
type estimatorParameters struct {
	// priorFirstEventRatio is the prior of the time to the first response event of an empty prompt, and
	// priorTokenRatio the prior of the prefill time per token. Ratios of the recovery time limit; range: above
	// 0.
	priorFirstEventRatio, priorTokenRatio float64
	// The prior counts as priorSamples samples of an empty prompt and as many of a prompt of priorTokens
	// tokens. Ranges: 1 to 100 samples; above 0 tokens. Higher values adapt more slowly.
	priorSamples int
	priorTokens  float64
	// maxMultiple limits estimates to between 1/maxMultiple and maxMultiple of their prior, and samples
	// likewise relative to the estimate. Range: above 1. Higher values adapt to faster and slower workers,
	// lower values are more stable.
	maxMultiple float64
	// sampleDecay is the factor by which each new sample of a service reduces the weight of the earlier ones.
	// Range: above 0, below 1. Higher values are more stable.
	sampleDecay float64
	// slownessWeight is the weight of the newest sample in a worker's slowness. slownessDecayRatio is the age
	// at which the slowness has decayed to 3/8 (see decayWeight), as a ratio of the recovery time limit. Range
	// of both: above 0, to 1.
	slownessWeight, slownessDecayRatio float64
	// minSlowness is the smallest absolute value of a worker's logarithmic slowness that isn't rounded to 0:
	// smaller differences between workers are noise. Range: 0 to 0.5.
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

// sizeParameters divide prompts into size classes by the fraction of the latency target that their prefill
// takes; within one priority, smaller classes go first. Range: above 0, smallRatio below mediumRatio.
// Simulation runs in which size classes increased the total value of the requests served on a busy day:
// journal/20261202T033313, T033314, T033508 and T033509.
type sizeParameters struct {
	// Upper limit of the class of small prompts.
	smallRatio float64
	// Upper limit of the class of medium prompts.
	mediumRatio float64
}

var sizeTuning = sizeParameters{smallRatio: 1.0 / 16, mediumRatio: 3.0 / 16}

// Limits on the memory of the selection.
const (
	// Parts of a prompt that are considered; a set of parts is a uint64 bitmap.
	maxParts = 60
	// Most recent holders that are recorded for each prompt part.
	maxRecentHolders = 3
	// Records of prompt parts, in each of two generations.
	maxPartRecords = 4096
	// Selections that have not been sent yet, in each of two generations.
	maxSelected = 4096
	// Models whose served versions are cached per service, limited because clients may send any model name.
	maxModels = 64
)

// zeroThreshold is the magnitude below which decaying values are set to 0, because CPUs compute slowly with
// denormal numbers.
const zeroThreshold = 1e-6
