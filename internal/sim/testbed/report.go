package testbed

import "pebbleloom/internal/sim/loadgen"

// Report is what a scenario has shown.
type Report struct {
	Scenario            string          `json:"scenario"`
	Site                string          `json:"site"`
	Seed                uint64          `json:"seed"`
	Sum                 loadgen.Summary `json:"sum"`
	Steps               []string        `json:"steps"`
	SealedAfterRecovery float64         `json:"sealed_share_after_healing"`
	SealedDuring        float64         `json:"sealed_share_during"`
	ExtraRuns           int             `json:"extra_runs"`
	// Share of prompt tokens found kept before the first step, up to the bound after the
	// last, and from there on.
	HitShares  [3]float64 `json:"hit_shares"`
	RMax       float64    `json:"r_max"` // of the placement in the end
	Replicated int        `json:"replicated"`
	// Operations on the configuration that were judged for linearizability, and unclear attempts.
	Judged  int      `json:"operations_judged"`
	Unclear int      `json:"unclear_attempts"`
	Faults  []string `json:"faults"`
}
