package selection

// This file declares the parameters of the worker selection, one struct for each concern. They are read-only,
// and TestTuningIsInRange checks each against the range in its comment. "Recovery time limit" is
// settings.Bounds.RecoveryMs, the time within which service is restored after a fault; "latency target" is that of
// the request's route.

// affinityParameters weigh the cost of additional copies of a prompt part in the workers' caches. A part that
// the cache placement doesn't replicate has one home worker, by rendezvous hashing; a copy elsewhere evicts
// other parts. Weights are ratios of the cost of prefilling the prompt up to the end of its affinity part, the
// part whose hash determines the home worker.
type affinityParameters struct {
	// homeLoadRatio is the multiple of the workers' mean load up to which a worker may be the home of a prompt
	// part; one request more than that is always allowed. Range: 1 to 4. Lower values spread load, higher
	// values keep parts at one worker. Source: docs/design.md (1.25 of the mean, plus one).
	homeLoadRatio float64
	// homeSlotRatio is the fraction of a worker's slots that is added to the load limit for home workers (see
	// homeLoadRatio), so that a worker with many slots isn't avoided for a few requests. Range: 0 to 1.
	homeSlotRatio float64
	// coldWeight is the cost charged to workers other than the home worker while no worker caches the affinity
	// part, as a ratio of the cost of prefilling it, so that the part is prefilled only once. Range: 0 to 1.
	// Higher values avoid duplicate prefill, lower values avoid waiting for the home worker.
	// Source: docs/design.md (three quarters).
	coldWeight float64
	// copyWeight is the cost charged to a worker that lacks the affinity part while another worker caches it,
	// as a ratio of the cost of prefilling the part. Range: 0 to 1. Higher values avoid copies, lower values
	// spread load.
	copyWeight float64
	// copyElsewhereWeight is charged in addition to copyWeight, as a ratio of the same cost, if the worker
	// isn't the part's home, so that all edge machines make copies at the same worker. Range: 0 to 1.
	copyElsewhereWeight float64
	// duplicatePrefillRatio is the extra cost of prefilling one token that another worker already caches, as a
	// ratio of the latency target. It accounts for the time that other requests lose and for the prompt parts
	// that are evicted. Range: above 0, to 0.001. Higher values favor transfers and waiting over prefill.
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
	// tokenWeight is the cost of transferring one token's cache in addition to the time for which the transfer
	// occupies the links, as a ratio of duplicatePrefillRatio. Range: 0 to 1. Higher values avoid network
	// traffic.
	tokenWeight float64
	// crossZoneMultiple is how many times longer a transfer takes between zones than within one. Range: 1 to
	// 10.
	crossZoneMultiple float64
	// presumedRiskRatio is the assumed probability that a worker or store lacks a prompt part that was sent to
	// it but that it has not confirmed to cache. Range: 0 to 1. Higher values avoid fetches that fail, lower
	// values avoid prefill.
	presumedRiskRatio float64
	// promptWeight is the cost per token of sending a prompt to another zone, as a ratio of
	// duplicatePrefillRatio. Range: 0 to 1. Higher values avoid traffic between zones, lower values spread
	// load.
	promptWeight float64
	// maxSources is the maximum number of workers that are considered as sources from which a prompt's parts
	// are fetched. Range: 1 to 64. Higher values find better sources, lower values save CPU time, since each
	// source is evaluated for each candidate worker.
	maxSources int
	// minSavedTokens is the minimum number of tokens in the shared parts of a prompt for which these parts are
	// saved to a store. A worker that lacks at least twice as many shared tokens tries to fetch them from the
	// store even if the store isn't known to have them. Range: above 0.
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
	// decayRatio is the age at which the weight of a load report, or of the lateness of a first response event,
	// has decayed to 3/8 (see decayWeight), as a ratio of the recovery time limit. Range: above 0, to 1. Higher
	// values trust old reports longer.
	decayRatio float64
	// sampleWeight is the weight of the newest sample in a service's moving averages: of the load from other
	// edge machines, of the tokens prefilled per request and of the duration of an attempt. Range: above 0, to
	// 1. Higher values adapt faster, lower values are more stable.
	sampleWeight float64
	// maxWaitRatio is the longest expected wait at the worker with the lowest cost for which a request is still
	// sent, as a ratio of the latency target; if the wait is longer, the client is asked to retry after that
	// time. Range: above 0. Lower values end an overload sooner, higher values reject fewer requests.
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

// ejectionParameters control the ejection of failing workers, which are detected by the attempts of this edge
// machine and by the outcomes that the edge machines report to each other.
type ejectionParameters struct {
	// maxEjectedRatio is the maximum fraction of a service's usable workers that are ejected at the same time.
	// Range: 0 to 0.5. Higher values avoid more failing workers, lower values preserve capacity.
	maxEjectedRatio float64
	// baseTimeRatio is the duration of a worker's first ejection, as a ratio of the recovery time limit. The
	// duration doubles with each further failure. Range: above 0, to maxTimeRatio.
	baseTimeRatio float64
	// maxTimeRatio is the maximum duration of an ejection, as a ratio of the recovery time limit. Range:
	// baseTimeRatio to 1, so that service is restored within that limit.
	maxTimeRatio float64
	// maxDoublings is the maximum number of times that the duration of a worker's ejections doubles. Range: 0
	// to 16.
	maxDoublings int
	// failureMultiple is by how much a worker's failure ratio extends its ejection: the duration is multiplied
	// by 1 + failureMultiple * failure ratio. Range: 0 to 8.
	failureMultiple float64
	// sampleWeight is the weight of the newest outcome in the moving average of a worker's failure ratio.
	// Range: above 0, to 1.
	sampleWeight float64

	// outcomeDecayRatio is the age at which the weight of an outcome that edge machines report to each other
	// has decayed to 3/8 (see decayWeight), as a ratio of the recovery time limit. Range: above 0, to 1.
	outcomeDecayRatio float64
	// minFailures is the minimum number of recent failures, summed over all edge machines, for which a worker
	// is ejected by their reports. Range: above 1, so that a single failure isn't enough. Lower values react
	// sooner.
	minFailures float64
	// minFailureRatio is the failure ratio, over the attempts of all edge machines, that a worker has to exceed
	// to be ejected by their reports. Range: 0 to 1.
	minFailureRatio float64
	// peerMultiple is the multiple of the failure ratio of the service's other workers that a worker's failure
	// ratio has to exceed for an ejection by the reports of edge machines, so that failures common to all
	// workers eject none. Range: above 1.
	peerMultiple float64
	// suspectTimeRatio is for how long a load report ejects a worker for which it shows too many failures (see
	// minFailures, minFailureRatio and peerMultiple), as a ratio of the recovery time limit. Range: above 0, to
	// maxTimeRatio.
	suspectTimeRatio float64
	// overdueMultiple is the multiple of the expected time to an attempt's first response event after which the
	// event counts as overdue; it never does before the latency target has passed. Range: above 1. Lower values
	// detect unresponsive workers sooner, higher values tolerate slow ones.
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
	// cost is the cost charged to a worker with a failure ratio of 1 whose ejection has just ended, as a ratio
	// of the latency target. It falls to 0 within as much time as the ejection lasted. Range: 0 to 1. Higher
	// values send the worker fewer requests at first.
	cost float64
}

var slowStartTuning = slowStartParameters{cost: 0.5}

// avoidanceParameters control for how long a worker is avoided after it rejected an attempt without executing
// it. All are ratios of the recovery time limit; range: above 0, to 0.5. Higher values cause fewer rejected
// attempts, lower values select workers sooner that accept requests again.
type avoidanceParameters struct {
	// Time to avoid a worker after it rejected an attempt because it had no free slot, as a ratio of the
	// recovery time limit.
	noFreeSlotRatio float64
	// Time to avoid a worker after it rejected an attempt because it served other weights or was executing a
	// command, as a ratio of the recovery time limit.
	notReadyRatio float64
	// Time to avoid a worker after an attempt reached another worker instance at its address, as a ratio of the
	// recovery time limit.
	misdirectedRatio float64
}

var avoidanceTuning = avoidanceParameters{
	noFreeSlotRatio:  1.0 / 96,
	notReadyRatio:    1.0 / 24,
	misdirectedRatio: 1.0 / 12,
}

// rolloutParameters control how requests move to newer model weights. A version becomes a model's target
// version when the control state lists it as the one to serve. The rollout time limit is
// settings.Bounds.WeightsMs: once this time has passed since newer weights became the target version, no request
// may start on older ones.
type rolloutParameters struct {
	// olderVersionRatio is for how long after newer weights became the target version a worker on older ones may
	// be selected, as a ratio of the rollout time limit. Range: 0 to below 1, so that the request starts within
	// the limit. Source: docs/design.md (0.85 of the limit).
	olderVersionRatio float64
	// inheritedRatio is the time after the process's start within which a weights version that the process
	// sees for the first time counts as the target version since before the start, as a ratio of the
	// recovery time limit. Range: 0 to 1.
	inheritedRatio float64
	// contactRatio is the time after the process's start during which the process counts as not in contact
	// with the control state, so that the rollout time limit doesn't apply to it. It is a ratio of the site's
	// contact window (settings.Site.ContactWindowMs). Range: 0 to 1.
	contactRatio float64
	// minNewestRatio is the minimum fraction of workers that have to serve the newest weights version before
	// prompts are assigned to it. Range: 0 to 1. Higher values protect the first upgraded workers from
	// overload.
	minNewestRatio float64
	// assignedMultiple determines the fraction of prompts that are assigned to the newest weights version, as a
	// multiple of the fraction of workers that serve it. Range: 1 to 2. Higher values drain workers on older
	// versions sooner.
	assignedMultiple float64
	// assignedWeight is the cost of a worker on older weights for a prompt that is assigned to the newest
	// weights version, as a ratio of the time to prefill the prompt's shared parts. Range: 0 to 5. Higher
	// values drain workers on older versions sooner, lower values avoid queues at workers on newer ones.
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
	// worker.
	targetRatio float64
	// minRatio and maxRatio limit the wait for the prompt index, as ratios of the recovery time limit. For a
	// route without a latency target the wait is maxRatio. Range of minRatio: above 0, to maxRatio; range of
	// maxRatio: minRatio to 0.1.
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
	// sent to it, as a ratio of the recovery time limit. Until then the prompt's parts can't be fetched from
	// the worker.
	prefillRatio float64
	// lookupRatio is the age from which this edge machine's record that a worker caches a prompt part no longer
	// replaces a lookup in the prompt index, as a ratio of the recovery time limit (settings.Bounds.RecoveryMs,
	// the longest time until service is restored after a fault). Higher values save lookups, lower values find
	// copies at other workers sooner.
	lookupRatio float64
	// indexLagRatio is the time within which the prompt index learns that a worker evicted a prompt part, as a
	// ratio of the recovery time limit. If the index knows the part, records of this edge machine that are
	// older than this are ignored.
	indexLagRatio float64
	// lifetimeRatio is the age from which this edge machine's record that a worker caches a prompt part is
	// ignored even if the prompt index doesn't know the part, as a ratio of the recovery time limit.
	lifetimeRatio float64
	// savedRatio is for how long a prompt part that was sent to a store is presumed to be stored there, as a
	// ratio of the recovery time limit.
	savedRatio float64
}

var recordTuning = recordParameters{
	prefillRatio:  1.0 / 24,
	lookupRatio:   1.0 / 8,
	indexLagRatio: 1.0 / 8,
	lifetimeRatio: 2,
	savedRatio:    1,
}

// estimatorParameters are the initial values (priors) of the estimated times to first response events, and the
// weights of the samples that update the estimates.
type estimatorParameters struct {
	// priorFirstEventRatio is the prior of the time to the first response event of an empty prompt, and
	// priorTokenRatio the prior of the prefill time per token. Both are ratios of the recovery time limit
	// (settings.Bounds.RecoveryMs, the longest time until service is restored after a fault), with which all
	// durations of a site scale; range: above 0.
	priorFirstEventRatio, priorTokenRatio float64
	// The regression of the time to the first response event starts with priorSamples samples of an empty
	// prompt and as many of a prompt of priorTokens tokens, all with the times that the priors predict. Range
	// of priorSamples: 1 to 100; range of priorTokens: above 0. Higher values adapt more slowly.
	priorSamples int
	priorTokens  float64
	// maxMultiple limits the estimates of the time to first response events to between 1/maxMultiple and
	// maxMultiple times their prior. It also limits samples: to maxMultiple times the estimate, and in a
	// worker's slowness to between 1/maxMultiple and maxMultiple times the estimate. Range: above 1. Higher
	// values adapt to faster and slower workers, lower values are more stable.
	maxMultiple float64
	// sampleDecay is the factor by which each new sample of a service's times to first response events
	// multiplies the weight of the earlier samples. Range: above 0, below 1. Higher values are more stable.
	sampleDecay float64
	// slownessWeight is the weight of the newest sample in a worker's logarithmic slowness, the logarithm of
	// its times to first response events relative to their estimate. slownessDecayRatio is the age at which
	// that logarithm has decayed to 3/8 (see decayWeight), as a ratio of the recovery time limit. Range of
	// both: above 0, to 1.
	slownessWeight, slownessDecayRatio float64
	// minSlowness is the smallest absolute value of a worker's logarithmic slowness (see slownessWeight) that
	// isn't rounded to 0: smaller differences between workers are noise. Range: 0 to 0.5.
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

// sizeParameters divide prompts into size classes (small, medium and large) by the fraction of the latency
// target that their prefill takes. Within one priority, requests of smaller classes go first, which increases
// the total value of the requests that are served under high load. Range: above 0, smallRatio at most
// mediumRatio.
type sizeParameters struct {
	// Expected prefill time, as a fraction of the latency target, below which a prompt is in the size class
	// small.
	smallRatio float64
	// Expected prefill time, as a fraction of the latency target, below which a prompt that isn't in the size
	// class small is in the class medium; from this time on it is large.
	mediumRatio float64
}

var sizeTuning = sizeParameters{smallRatio: 1.0 / 16, mediumRatio: 3.0 / 16}

// Limits on the memory that the worker selection uses.
const (
	// Number of leading parts of a prompt that the selection considers, below 64 because a set of parts is a
	// uint64 bitmap.
	maxParts = 60
	// Number of workers, the most recent ones, that are recorded as caching a prompt part.
	maxRecentHolders = 3
	// Maximum number of records of prompt parts in each of the two generations of a recentMap.
	maxPartRecords = 4096
	// Maximum number of selections without a sent attempt in each of the two generations of a recentMap.
	maxSelected = 4096
	// Maximum number of models per service for which the workers' weights versions are cached; limited because
	// clients may send any model name.
	maxModels = 64
)

// zeroThreshold is the magnitude below which decaying averages and counts are set to 0, because CPUs compute
// slowly with denormal numbers.
const zeroThreshold = 1e-6
