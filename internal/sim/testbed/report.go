package testbed

import "pebbleloom/internal/sim/loadgen"

// Report is the result of a run of a scenario.
type Report struct {
	Scenario            string          `json:"scenario"`
	Site                string          `json:"site"`
	Seed                uint64          `json:"seed"`
	Sum                 loadgen.Summary `json:"sum"`
	Steps               []string        `json:"steps"`
	SealedAfterRecovery float64         `json:"sealed_share_after_healing"`
	SealedDuring        float64         `json:"sealed_share_during"`
	ExtraRuns           int             `json:"extra_runs"`
	// HitShares are the shares of prompt tokens that were found in a worker's prompt cache, by when the request was sent: before the first step,
	// from then until the recovery time after the last step was over, and later.
	HitShares  [3]float64 `json:"hit_shares"`
	RMax       float64    `json:"r_max"`      // of the placement at the end of the run: largest fraction of a request's tokens to fetch from other workers
	Replicated int        `json:"replicated"` // number of prompt prefixes that the placement at the end of the run replicates
	// Judged is the number of reads and changes of the configuration that were checked for linearizability; Unclear is the
	// number of attempts at a change whose outcome is unknown.
	Judged  int      `json:"operations_judged"`
	Unclear int      `json:"unclear_attempts"`
	Faults  []string `json:"faults"`
}
