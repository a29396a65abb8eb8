package settings

import "time"

// Bounds are the time limits that pebbleloom guarantees, its retry budget and its memory limits. Every other duration
// is a fixed ratio of one of these time limits, so that the timing of a site can be scaled as one.
type Bounds struct {
	ConfigMs              int `json:"setup_ms"`    // longest time that a superseded configuration stays in use
	KeyRevocationMs       int `json:"key_ms"`      // longest time that a revoked API key is still accepted
	LeaveMs               int `json:"leave_ms"`    // longest time that a worker still gets requests after it has left the site
	WeightsMs             int `json:"weights_ms"`  // longest time that requests still start on superseded weights
	RecoveryMs            int `json:"heal_ms"`     // longest time until service is restored after a fault
	RetryPercent          int `json:"try_share"`   // retries that are allowed, as a percentage of the requests
	RetryWindowMs         int `json:"try_span_ms"` // interval over which retries are counted; used only by checks of the test bed
	RetryAllowance        int `json:"try_allow"`   // retries per service in the entire site that are allowed in addition to RetryPercent
	RequestIDRetentionMs  int `json:"once_ms"`     // shortest time that the ID of an at-most-once request is remembered
	MaxBodyKB             int `json:"body_kb"`     // largest request body that is accepted
	MaxConcurrentRequests int `json:"waiting"`     // concurrent requests that each proxy accepts
	MaxIndexEntries       int `json:"entries"`     // prompt prefixes that each prompt index node stores at most
}

// DefaultBounds returns the bounds that apply if the settings give no others.
//
// Example: process.Bounds = settings.DefaultBounds()
func DefaultBounds() Bounds {
	return Bounds{ConfigMs: 2000, KeyRevocationMs: 5000, LeaveMs: 3000, WeightsMs: 20000, RecoveryMs: 12000,
		RetryPercent: 20, RetryWindowMs: 10000, RetryAllowance: 10, RequestIDRetentionMs: 1800000,
		MaxBodyKB: 512, MaxConcurrentRequests: 256, MaxIndexEntries: 60000}
}

// These ratios ensure that the last order (a command to a worker to load weights) of one lease holder arrives before the
// first order of the next holder. A holder stops sending orders LeaseMarginRatio of a lease before its lease ends, the
// next holder starts LeaseMarginRatio of a lease after that end, and an order times out after OrderTimeoutRatio.
const (
	LeaseRatio        = 1.0 / 4  // duration of a lease, as a ratio of Bounds.RecoveryMs
	LeaseMarginRatio  = 1.0 / 8  // safety margin before and after the end of a lease, as a ratio of the lease's duration
	OrderTimeoutRatio = 1.0 / 24 // timeout of an order to a worker, as a ratio of Bounds.RecoveryMs
)

// handoverGap returns the shortest time between the arrival of a lease holder's last order at a worker and the first
// order that the next holder sends.
func (b Bounds) handoverGap() time.Duration {
	return b.Recovery(2*LeaseMarginRatio*LeaseRatio) - b.Recovery(OrderTimeoutRatio)
}

// Fraction multiplies a number of milliseconds by a ratio and returns the result as a duration.
//
// Example: settings.Fraction(site.GraceMs, 0.5)
func Fraction(milliseconds int, ratio float64) time.Duration {
	return time.Duration(float64(milliseconds) * ratio * float64(time.Millisecond))
}

// Config returns Bounds.ConfigMs, the longest time that a superseded configuration stays in use, multiplied by a ratio.
//
// Example: maxProofAge := bounds.Config(0.8)
func (b Bounds) Config(ratio float64) time.Duration { return Fraction(b.ConfigMs, ratio) }

// KeyProofRatio is the ratio of KeyProof to Bounds.KeyRevocationMs. The rest of the bound covers the time from reading a
// request to sending it to a worker.
const KeyProofRatio = 0.95

// KeyProof returns the age of the proof that a routing plan is the newest up to which requests are served as the plan
// says which API keys are good and which tenants share cached prompt parts. It is derived from Bounds.KeyRevocationMs,
// the longest time that a revoked API key is still accepted.
//
// Example: fresh := snapshot.HasFreshProof(clock.Now(), bounds.KeyProof())
func (b Bounds) KeyProof() time.Duration { return Fraction(b.KeyRevocationMs, KeyProofRatio) }

// Weights returns Bounds.WeightsMs, the longest time that requests still start on superseded weights, multiplied by a
// ratio.
//
// Example: selectableFor := bounds.Weights(0.85)
func (b Bounds) Weights(ratio float64) time.Duration { return Fraction(b.WeightsMs, ratio) }

// Leave returns Bounds.LeaveMs, the longest time that a worker still gets requests after it has left the site,
// multiplied by a ratio.
//
// Example: heartbeatInterval := bounds.Leave(0.1)
func (b Bounds) Leave(ratio float64) time.Duration { return Fraction(b.LeaveMs, ratio) }

// Recovery returns Bounds.RecoveryMs, the longest time until service is restored after a fault, multiplied by a ratio.
//
// Example: lease := bounds.Recovery(settings.LeaseRatio)
func (b Bounds) Recovery(ratio float64) time.Duration { return Fraction(b.RecoveryMs, ratio) }

// RequestIDRetention returns Bounds.RequestIDRetentionMs, the shortest time that the IDs of at-most-once requests are
// remembered, multiplied by a ratio.
//
// Example: retention := bounds.RequestIDRetention(1)
func (b Bounds) RequestIDRetention(ratio float64) time.Duration {
	return Fraction(b.RequestIDRetentionMs, ratio)
}
