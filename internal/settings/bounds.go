package settings

import "time"

// Bounds are the guarantees that pebbleloom keeps, and limits on its memory. Every other duration is a
// ratio of one of them, so that a site can be tightened or relaxed as a whole.
type Bounds struct {
	ConfigMs              int `json:"setup_ms"`    // an old configuration is in use no longer than this
	KeyRevocationMs       int `json:"key_ms"`      // a revoked key works no longer than this
	LeaveMs               int `json:"leave_ms"`    // a worker that left gets requests no longer than this
	WeightsMs             int `json:"weights_ms"`  // requests start on older weights no longer than this
	HealMs                int `json:"heal_ms"`     // service is restored within this after a fault
	RetryPercent          int `json:"try_share"`   // retries, percent of traffic
	RetryWindowMs         int `json:"try_span_ms"` // over which retries are counted; only the test bed's checks use it
	RetryAllowance        int `json:"try_allow"`   // retries of a service at the whole site beside RetryPercent
	RequestIDRetentionMs  int `json:"once_ms"`     // the id of an at-most-once request is remembered at least this long
	MaxBodyKB             int `json:"body_kb"`     // of a request
	MaxConcurrentRequests int `json:"waiting"`     // of one proxy
	MaxIndexEntries       int `json:"entries"`     // prefix entries of one index node
}

// DefaultBounds returns the bounds of the Páramo site.
//
// Example: process.Bounds = settings.DefaultBounds()
func DefaultBounds() Bounds {
	return Bounds{ConfigMs: 2000, KeyRevocationMs: 5000, LeaveMs: 3000, WeightsMs: 20000, HealMs: 12000,
		RetryPercent: 20, RetryWindowMs: 10000, RetryAllowance: 10, RequestIDRetentionMs: 1800000,
		MaxBodyKB: 512, MaxConcurrentRequests: 256, MaxIndexEntries: 60000}
}

// These ratios keep the orders of two lease holders apart. A holder stops LeaseMarginRatio of a lease
// before its end, the next one starts LeaseMarginRatio after it, and an order takes OrderTimeoutRatio
// at most: the last order of the one must arrive before the first of the other.
const (
	LeaseRatio        = 1.0 / 4  // duration of a lease, of the heal bound
	LeaseMarginRatio  = 1.0 / 8  // of a lease
	OrderTimeoutRatio = 1.0 / 24 // of the heal bound
)

// handoverGap is the time between the end of a holder's last order and the next holder's first.
func (b Bounds) handoverGap() time.Duration {
	return b.Heal(2*LeaseMarginRatio*LeaseRatio) - b.Heal(OrderTimeoutRatio)
}

// Fraction returns a ratio of a bound in milliseconds.
//
// Example: settings.Fraction(site.GraceMs, 0.5)
func Fraction(milliseconds int, ratio float64) time.Duration {
	return time.Duration(float64(milliseconds) * ratio * float64(time.Millisecond))
}

// Config returns a ratio of the bound on old configurations.
//
// Example: maxProofAge := bounds.Config(0.8)
func (b Bounds) Config(ratio float64) time.Duration { return Fraction(b.ConfigMs, ratio) }

// Weights returns a ratio of the bound on older weights.
//
// Example: selectableFor := bounds.Weights(0.85)
func (b Bounds) Weights(ratio float64) time.Duration { return Fraction(b.WeightsMs, ratio) }

// Leave returns a ratio of the bound on workers that left.
//
// Example: heartbeatInterval := bounds.Leave(0.1)
func (b Bounds) Leave(ratio float64) time.Duration { return Fraction(b.LeaveMs, ratio) }

// Heal returns a ratio of the bound on restored service.
//
// Example: lease := bounds.Heal(settings.LeaseRatio)
func (b Bounds) Heal(ratio float64) time.Duration { return Fraction(b.HealMs, ratio) }

// RequestIDRetention returns a ratio of how long ids of at-most-once requests are remembered.
//
// Example: retention := bounds.RequestIDRetention(1)
func (b Bounds) RequestIDRetention(ratio float64) time.Duration {
	return Fraction(b.RequestIDRetentionMs, ratio)
}
