package selection

import (
	"math"
	"testing"
	"unsafe"
)

// positive is the lower limit of parameter ranges that exclude 0, and the distance from an excluded limit.
const positive = 1e-12

var unbounded = math.Inf(1)

// tunedParameters lists all parameters in tuning.go with the ranges that their comments give.
var tunedParameters = map[string]struct{ value, lowest, highest float64 }{
	"affinity.homeLoadRatio":         {affinityTuning.homeLoadRatio, 1, 4},
	"affinity.homeSlotRatio":         {affinityTuning.homeSlotRatio, 0, 1},
	"affinity.coldWeight":            {affinityTuning.coldWeight, 0, 1},
	"affinity.copyWeight":            {affinityTuning.copyWeight, 0, 1},
	"affinity.copyElsewhereWeight":   {affinityTuning.copyElsewhereWeight, 0, 1},
	"affinity.duplicatePrefillRatio": {affinityTuning.duplicatePrefillRatio, positive, 0.001},

	"transfer.tokenWeight":       {transferTuning.tokenWeight, 0, 1},
	"transfer.crossZoneMultiple": {transferTuning.crossZoneMultiple, 1, 10},
	"transfer.presumedRiskRatio": {transferTuning.presumedRiskRatio, 0, 1},
	"transfer.promptWeight":      {transferTuning.promptWeight, 0, 1},
	"transfer.maxSources":        {float64(transferTuning.maxSources), 1, 64},
	"transfer.minSavedTokens":    {transferTuning.minSavedTokens, positive, unbounded},

	"load.congestionWeight":   {loadTuning.congestionWeight, 0, 1},
	"load.tieBreakRatio":      {loadTuning.tieBreakRatio, 0, 0.1},
	"load.decayRatio":         {loadTuning.decayRatio, positive, 1},
	"load.sampleWeight":       {loadTuning.sampleWeight, positive, 1},
	"load.maxWaitRatio":       {loadTuning.maxWaitRatio, positive, unbounded},
	"load.defaultTargetRatio": {loadTuning.defaultTargetRatio, positive, 1},

	"ejection.maxEjectedRatio":   {ejectionTuning.maxEjectedRatio, 0, 0.5},
	"ejection.baseTimeRatio":     {ejectionTuning.baseTimeRatio, positive, ejectionTuning.maxTimeRatio},
	"ejection.maxTimeRatio":      {ejectionTuning.maxTimeRatio, ejectionTuning.baseTimeRatio, 1},
	"ejection.maxDoublings":      {float64(ejectionTuning.maxDoublings), 0, 16},
	"ejection.failureMultiple":   {ejectionTuning.failureMultiple, 0, 8},
	"ejection.sampleWeight":      {ejectionTuning.sampleWeight, positive, 1},
	"ejection.outcomeDecayRatio": {ejectionTuning.outcomeDecayRatio, positive, 1},
	"ejection.minFailures":       {ejectionTuning.minFailures, 1 + positive, unbounded},
	"ejection.minFailureRatio":   {ejectionTuning.minFailureRatio, 0, 1},
	"ejection.peerMultiple":      {ejectionTuning.peerMultiple, 1 + positive, unbounded},
	"ejection.suspectTimeRatio":  {ejectionTuning.suspectTimeRatio, positive, ejectionTuning.maxTimeRatio},
	"ejection.overdueMultiple":   {ejectionTuning.overdueMultiple, 1 + positive, unbounded},

	"slowStart.cost": {slowStartTuning.cost, 0, 1},

	"avoidance.noFreeSlotRatio":  {avoidanceTuning.noFreeSlotRatio, positive, 0.5},
	"avoidance.notReadyRatio":    {avoidanceTuning.notReadyRatio, positive, 0.5},
	"avoidance.misdirectedRatio": {avoidanceTuning.misdirectedRatio, positive, 0.5},

	"rollout.olderVersionRatio": {rolloutTuning.olderVersionRatio, 0, 1 - positive},
	"rollout.inheritedRatio":    {rolloutTuning.inheritedRatio, 0, 1},
	"rollout.contactRatio":      {rolloutTuning.contactRatio, 0, 1},
	"rollout.minNewestRatio":    {rolloutTuning.minNewestRatio, 0, 1},
	"rollout.assignedMultiple":  {rolloutTuning.assignedMultiple, 1, 2},
	"rollout.assignedWeight":    {rolloutTuning.assignedWeight, 0, 5},

	"indexWait.targetRatio": {indexWaitTuning.targetRatio, 0, 1},
	"indexWait.minRatio":    {indexWaitTuning.minRatio, positive, indexWaitTuning.maxRatio},
	"indexWait.maxRatio":    {indexWaitTuning.maxRatio, indexWaitTuning.minRatio, 0.1},

	"record.prefillRatio":  {recordTuning.prefillRatio, positive, unbounded},
	"record.lookupRatio":   {recordTuning.lookupRatio, positive, unbounded},
	"record.indexLagRatio": {recordTuning.indexLagRatio, positive, unbounded},
	"record.lifetimeRatio": {recordTuning.lifetimeRatio, positive, unbounded},
	"record.savedRatio":    {recordTuning.savedRatio, positive, unbounded},

	"estimator.priorFirstEventRatio": {estimatorTuning.priorFirstEventRatio, positive, unbounded},
	"estimator.priorTokenRatio":      {estimatorTuning.priorTokenRatio, positive, unbounded},
	"estimator.priorSamples":         {float64(estimatorTuning.priorSamples), 1, 100},
	"estimator.priorTokens":          {estimatorTuning.priorTokens, positive, unbounded},
	"estimator.maxMultiple":          {estimatorTuning.maxMultiple, 1 + positive, unbounded},
	"estimator.sampleDecay":          {estimatorTuning.sampleDecay, positive, 1 - positive},
	"estimator.slownessWeight":       {estimatorTuning.slownessWeight, positive, 1},
	"estimator.slownessDecayRatio":   {estimatorTuning.slownessDecayRatio, positive, 1},
	"estimator.minSlowness":          {estimatorTuning.minSlowness, 0, 0.5},

	"size.smallRatio":  {sizeTuning.smallRatio, positive, sizeTuning.mediumRatio},
	"size.mediumRatio": {sizeTuning.mediumRatio, sizeTuning.smallRatio, unbounded},
}

// Each parameter in tuning.go is within the range that its comment gives.
func TestTuningIsInRange(t *testing.T) {
	for name, parameter := range tunedParameters {
		t.Run(name, func(t *testing.T) {
			if parameter.value < parameter.lowest || parameter.value > parameter.highest {
				t.Errorf("parameter %s is %v, want %v to %v", name, parameter.value, parameter.lowest, parameter.highest)
			}
		})
	}
	if maxParts >= 64 {
		t.Errorf("maxParts is %d, want below 64: a set of parts is a uint64 bitmap", maxParts)
	}
}

// Values of type attempt are stored in maps, which allocate an extra object per entry for values of more than
// 128 bytes.
func TestAttemptFitsIntoMapEntry(t *testing.T) {
	// maxInlineValue is the size in bytes up to which Go's maps store values inline.
	const maxInlineValue = 128
	if size := unsafe.Sizeof(attempt{}); size > maxInlineValue {
		t.Errorf("struct attempt has %d bytes, want at most %d, so that maps store it inline", size, maxInlineValue)
	}
}
