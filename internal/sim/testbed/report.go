package testbed

import "pebbleloom/internal/sim/loadgen"

// Report is the result of a run of a scenario.
type Report struct {
	Scenario            string          `json:"scenario"`
	Site                string          `json:"site"`
	Seed                uint64          `json:"seed"`
	Sum                 loadgen.Summary `json:"sum"`                        // outcomes of the client requests
	Steps               []string        `json:"steps"`                      // steps that were executed, with their times and results
	SealedAfterRecovery float64         `json:"sealed_share_after_healing"` // share of complete responses among the requests sent once the last step and the time to recover after it were over
	SealedDuring        float64         `json:"sealed_share_during"`        // share of complete responses among the requests sent before the last step and the time to recover after it were over
	ExtraRuns           int             `json:"extra_runs"`                 // runs on workers beyond the first one of each request
	// Shares of prompt tokens that were found in a worker's prompt cache, by when the request was sent: before the
	// first step, from then until the recovery time after the last step was over, and later.
	HitShares  [3]float64 `json:"hit_shares"`
	RMax       float64    `json:"r_max"`             // largest fraction of a request's tokens to fetch from other workers, in the placement at the end of the run
	Replicated int        `json:"replicated"`        // number of prompt prefixes that the placement at the end of the run replicates
	Judged     int        `json:"operations_judged"` // number of reads and changes of the configuration that were checked for linearizability
	Unclear    int        `json:"unclear_attempts"`  // number of attempts at a change of the configuration whose outcome is unknown
	Faults     []string   `json:"faults"`            // violations of the invariants that the checks found
}
