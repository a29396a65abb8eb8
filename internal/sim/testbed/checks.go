package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/sim/workersim"
)

// checkRun checks the invariants on a finished run: closed is the wall time in milliseconds at which the last step
// ended, heal the recovery bound in milliseconds.
func (run *scenarioRun) checkRun(ctx context.Context, log *loadgen.OutcomeLog, closed int64, heal int) error {
	journals, err := run.fleet.Journals()
	if err != nil {
		return errs.Wrap(err, "journals")
	}
	run.report.Sum = log.Summarize(journals, true)
	for _, f := range run.report.Sum.Faults {
		run.addFault("%s", f)
	}
	run.checkSealedShares(log, closed, int64(heal))
	run.checkRevokedKeys(log, journals)
	run.checkWeightsAndDraining(journals)
	run.checkRetryBudget(log, journals)
	orders, err := run.fleet.Orders()
	if err != nil {
		return errs.Wrap(err, "orders")
	}
	for _, f := range append(checkFencing(orders), run.checkOldBaseOutlivesMigration(journals, orders)...) {
		run.addFault("%s", f)
	}
	if run.scenario.ReadAll {
		run.checkConfigurationsAgree(ctx)
	}
	run.recordPlacement(ctx)
	run.checkHistory(ctx)
	sort.Strings(run.report.Faults)
	return nil
}

// recordPlacement puts the placement that is in force at the end into the report.
func (run *scenarioRun) recordPlacement(ctx context.Context) {
	_, body := run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/placements/"+mainService(run.fleet.Site.Traffic.Model))
	var s struct {
		Placement struct {
			RMax       float64  `json:"r_max"`
			Replicated []string `json:"replicated"`
		} `json:"placement"`
	}
	if json.Unmarshal([]byte(body), &s) == nil { // otherwise the placement is unknown, which other checks report
		run.report.RMax, run.report.Replicated = s.Placement.RMax, len(s.Placement.Replicated)
	}
}

// hitCounter counts prompt tokens, and those of them that were cache hits.
type hitCounter struct{ hit, total int }

func (c *hitCounter) add(o loadgen.Outcome) {
	c.hit += o.Final.CachedTokens
	c.total += o.Final.CachedTokens + o.Final.FetchedTokens + o.Final.PrefilledTokens
}

func (c *hitCounter) share() float64 { return float64(c.hit) / float64(max(1, c.total)) }

// checkSealedShares checks that service recovers within the bound and that only allowed rejections occur.
func (run *scenarioRun) checkSealedShares(log *loadgen.OutcomeLog, closed, heal int64) {
	afterTotal, afterSealed, duringTotal, duringSealed := 0, 0, 0, 0
	var before, during, after hitCounter
	firstStepMs := closed
	for _, step := range run.scenario.Steps {
		if step.Action != "patch" {
			firstStepMs = min(firstStepMs, run.startedMs+int64(step.At))
		}
	}
	for _, outcome := range log.All() {
		switch {
		case outcome.SentMs < firstStepMs:
			before.add(outcome)
		case outcome.SentMs < closed+heal: // the fault and the recovery from it
			during.add(outcome)
		default:
			after.add(outcome)
		}
		if _, revoked := run.keyRevokedMs[outcome.Request.Key]; revoked {
			continue
		}
		if outcome.SentMs >= closed+heal {
			if afterTotal++; outcome.Sealed {
				afterSealed++
			}
		} else if duringTotal++; outcome.Sealed {
			duringSealed++
		}
		if outcome.Rejected == "" {
			continue
		}
		allowed := len(run.scenario.AllowedRejections) == 0
		for _, kind := range run.scenario.AllowedRejections {
			allowed = allowed || kind == outcome.Rejected
		}
		if !allowed || strings.HasPrefix(outcome.Rejected, "untyped") {
			run.addFault("%s: rejected as %s", outcome.Request.ID, outcome.Rejected)
		}
	}
	run.report.HitShares = [3]float64{before.share(), during.share(), after.share()}
	if afterTotal > 0 {
		run.report.SealedAfterRecovery = float64(afterSealed) / float64(afterTotal)
	}
	if duringTotal > 0 {
		run.report.SealedDuring = float64(duringSealed) / float64(duringTotal)
	}
	if run.report.SealedAfterRecovery < 0.97 {
		run.addFault("service did not recover: %.3f of %d requests sealed from %d ms after the last step on", run.report.SealedAfterRecovery, afterTotal, heal)
	}
	if all := float64(run.report.Sum.Sealed) / float64(max(1, run.report.Sum.Requests)); all < run.scenario.MinSealedShare {
		run.addFault("only %.3f of all requests sealed, at least %.3f are due", all, run.scenario.MinSealedShare)
	}
}

// checkRevokedKeys checks that a revoked key is accepted no longer than its bound, both by the time at which
// requests were sent and by the time at which workers started them.
func (run *scenarioRun) checkRevokedKeys(log *loadgen.OutcomeLog, journals map[string][]workersim.Run) {
	revokedMs := map[string]int64{} // request -> when its key was revoked
	for _, outcome := range log.All() {
		if revokedAtMs, ok := run.keyRevokedMs[outcome.Request.Key]; ok {
			revokedMs[outcome.Request.ID] = revokedAtMs
		}
	}
	for name, runs := range journals {
		for _, workerRun := range runs {
			if revokedAtMs, ok := revokedMs[workerRun.RequestID]; ok && workerRun.AtMs > revokedAtMs+int64(run.fleet.Site.Processes[0].Settings.Bounds.KeyRevocationMs) {
				run.addFault("%s started %s %d ms after its key was revoked", name, workerRun.RequestID, workerRun.AtMs-revokedAtMs)
			}
		}
	}
	bound := int64(run.fleet.Site.Processes[0].Settings.Bounds.KeyRevocationMs)
	late, rejected := 0, 0
	for _, outcome := range log.All() {
		revokedAtMs, revokedMs := run.keyRevokedMs[outcome.Request.Key]
		if !revokedMs || outcome.SentMs < revokedAtMs+bound {
			continue
		}
		if outcome.Sealed || outcome.Interrupted != "" {
			late++
			run.addFault("%s: a key revoked %d ms before was accepted", outcome.Request.ID, outcome.SentMs-revokedAtMs)
		} else if outcome.Rejected == "bad-key" {
			rejected++
		}
	}
	if len(run.keyRevokedMs) > 0 && late == 0 && rejected == 0 {
		run.addFault("no request used the revoked key: the check had nothing to judge")
	}
}

// checkWeightsAndDraining checks that no request starts on older weights after their bound, nor on a drained worker.
func (run *scenarioRun) checkWeightsAndDraining(journals map[string][]workersim.Run) {
	bounds := run.fleet.Site.Processes[0].Settings.Bounds
	newer := map[uint64]int{}
	for name, runs := range journals {
		for _, workerRun := range runs {
			for weights, atMs := range run.weightsNamedMs {
				if workerRun.Weights < weights && workerRun.AtMs > atMs+int64(bounds.WeightsMs) {
					run.addFault("%s started %s on weights %d, %d ms after %d were acknowledged", name, workerRun.RequestID, workerRun.Weights, workerRun.AtMs-atMs, weights)
				}
				if workerRun.Weights >= weights {
					newer[weights]++
				}
			}
			if atMs, ok := run.drainedMs[name]; ok && workerRun.AtMs > atMs+int64(bounds.LeaveMs) {
				run.addFault("%s started %s %d ms after it was drained", name, workerRun.RequestID, workerRun.AtMs-atMs)
			}
		}
	}
	for weights := range run.weightsNamedMs {
		if newer[weights] == 0 {
			run.addFault("nothing ever ran on weights %d", weights)
		}
	}
}

// checkRetryBudget checks the repeated runs in every retry window against the budget: a share of the window's
// requests plus the site's allowance.
func (run *scenarioRun) checkRetryBudget(log *loadgen.OutcomeLog, journals map[string][]workersim.Run) {
	bounds := run.fleet.Site.Processes[0].Settings.Bounds
	seen := map[string]bool{}
	var all []workersim.Run
	for _, runs := range journals {
		all = append(all, runs...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].AtMs < all[j].AtMs })
	var extra, first []int64
	for _, workerRun := range all {
		if seen[workerRun.RequestID] {
			extra = append(extra, workerRun.AtMs)
		}
		seen[workerRun.RequestID] = true
	}
	for _, outcome := range log.All() {
		if !outcome.Request.App {
			first = append(first, outcome.SentMs)
		}
	}
	run.report.ExtraRuns = len(extra)
	allow := float64(max(bounds.RetryAllowance, len(run.fleet.Site.Edges))) // an edge machine's share is at least one
	if extraRuns, firstRuns := worstWindow(extra, first, int64(bounds.RetryWindowMs), float64(bounds.RetryPercent)/100); float64(extraRuns) > float64(bounds.RetryPercent)/100*float64(firstRuns)+allow {
		run.addFault("%d extra runs on %d requests in a retry window", extraRuns, firstRuns)
	}
}

// worstWindow finds the window, at any start, whose extra runs exceed the share of its requests by the most. A run may begin up to a tenth of the window after its request earned it.
func worstWindow(extra, first []int64, span int64, share float64) (extraRuns, firstRuns int) {
	slices.Sort(extra)
	slices.Sort(first)
	count := func(times []int64, from, to int64) int { // from <= t < to
		at := func(t int64) int { i, _ := slices.BinarySearch(times, t); return i }
		return at(to) - at(from)
	}
	var begins []int64
	for _, t := range extra {
		begins = append(begins, t, t-span+1)
	}
	for _, t := range first {
		begins = append(begins, t+1)
	}
	worstExcess := 0.0
	for _, t := range begins {
		runs, requests := count(extra, t, t+span), count(first, t-span/10, t+span)
		if over := float64(runs) - share*float64(requests); runs > 0 && (over > worstExcess || extraRuns == 0) {
			worstExcess, extraRuns, firstRuns = over, runs, requests
		}
	}
	return extraRuns, firstRuns
}

// checkConfigurationsAgree checks that every operator address returns the same configuration, at least as new as the latest
// acknowledged version.
func (run *scenarioRun) checkConfigurationsAgree(ctx context.Context) {
	bodies := map[string][]string{}
	for _, addr := range run.fleet.Site.Operators {
		code, body := run.fleet.Get(ctx, addr, "/v1/setup")
		var response struct {
			Version       int64           `json:"epoch"`
			Configuration json.RawMessage `json:"setup"`
		}
		if code != 200 || json.Unmarshal([]byte(body), &response) != nil {
			run.addFault("%s doesn't return the configuration: %d %.200s", addr, code, body)
			continue
		}
		if response.Version < run.acknowledgedVersion {
			run.addFault("%s returned configuration version %d, but %d was acknowledged", addr, response.Version, run.acknowledgedVersion)
		}
		content := fmt.Sprintf("%d %s", response.Version, response.Configuration)
		bodies[content] = append(bodies[content], addr)
	}
	if len(bodies) > 1 {
		run.addFault("the operator addresses return %d different configurations", len(bodies))
	}
}
