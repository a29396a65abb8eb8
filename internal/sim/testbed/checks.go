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

// checkRun checks the outcomes of a finished run and adds each violation to the report. lastStepEndMs is the Unix time
// in milliseconds at which the last step ended; recoveryMs is the time in milliseconds within which service must
// recover after that.
func (run *scenarioRun) checkRun(ctx context.Context, log *loadgen.OutcomeLog, lastStepEndMs int64, recoveryMs int) error {
	journals, err := run.fleet.Journals()
	if err != nil {
		return errs.Wrap(err, "journals")
	}
	run.report.Sum = log.Summarize(journals, true)
	for _, f := range run.report.Sum.Faults {
		run.addViolation("%s", f)
	}
	run.checkRecoveryAndRejections(log, lastStepEndMs, int64(recoveryMs))
	run.checkRevokedKeys(log, journals)
	run.checkWeightsAndDraining(journals)
	run.checkRetryBudget(log, journals)
	orders, err := run.fleet.Orders()
	if err != nil {
		return errs.Wrap(err, "orders")
	}
	for _, f := range append(checkFencing(orders), run.checkOldBaseUnloadedLast(journals, orders)...) {
		run.addViolation("%s", f)
	}
	if run.scenario.ReadAll {
		run.checkConfigurationsAgree(ctx)
	}
	run.recordPlacement(ctx)
	run.checkHistory(ctx)
	sort.Strings(run.report.Faults)
	return nil
}

// recordPlacement reads the placement of the main model's service at the end of the run into the report.
func (run *scenarioRun) recordPlacement(ctx context.Context) {
	_, body := run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/placements/"+mainService(run.fleet.Site.Traffic.Model))
	var s struct {
		Placement struct {
			RMax       float64  `json:"r_max"`
			Replicated []string `json:"replicated"`
		} `json:"placement"`
	}
	if json.Unmarshal([]byte(body), &s) == nil { // on an error the report has no figures of the placement; other checks detect an unavailable site
		run.report.RMax, run.report.Replicated = s.Placement.RMax, len(s.Placement.Replicated)
	}
}

// hitCounter counts prompt tokens, and those of them that were found in a worker's prompt cache.
type hitCounter struct{ hit, total int }

func (c *hitCounter) add(o loadgen.Outcome) {
	c.hit += o.Final.CachedTokens
	c.total += o.Final.CachedTokens + o.Final.FetchedTokens + o.Final.PrefilledTokens
}

func (c *hitCounter) share() float64 { return float64(c.hit) / float64(max(1, c.total)) }

// checkRecoveryAndRejections checks that enough requests get a sealed response, one whose final record has a valid
// checksum, over the whole run and after the first recoveryMs milliseconds since the last step, and that only
// rejections of the kinds that the scenario allows occur.
func (run *scenarioRun) checkRecoveryAndRejections(log *loadgen.OutcomeLog, lastStepEndMs, recoveryMs int64) {
	afterTotal, afterSealed, duringTotal, duringSealed := 0, 0, 0, 0
	var before, during, after hitCounter
	firstStepMs := lastStepEndMs
	for _, step := range run.scenario.Steps {
		if step.Action != "patch" {
			firstStepMs = min(firstStepMs, run.startedMs+int64(step.At))
		}
	}
	for _, outcome := range log.All() {
		switch {
		case outcome.SentMs < firstStepMs:
			before.add(outcome)
		case outcome.SentMs < lastStepEndMs+recoveryMs: // sent while faults were injected, or while the site was allowed to recover from them
			during.add(outcome)
		default:
			after.add(outcome)
		}
		if _, revoked := run.keyRevokedMs[outcome.Request.Key]; revoked {
			continue
		}
		if outcome.SentMs >= lastStepEndMs+recoveryMs {
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
			run.addViolation("request %s: rejected as %s, which the scenario doesn't allow", outcome.Request.ID, outcome.Rejected)
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
		run.addViolation("service did not recover: a share of %.3f of the %d requests sent later than %d ms after the last step got a complete response, want at least 0.97", run.report.SealedAfterRecovery, afterTotal, recoveryMs)
	}
	if all := float64(run.report.Sum.Sealed) / float64(max(1, run.report.Sum.Requests)); all < run.scenario.MinSealedShare {
		run.addViolation("a share of %.3f of all requests got a complete response, want at least %.3f", all, run.scenario.MinSealedShare)
	}
}

// checkRevokedKeys checks that no request with a revoked API key is sent and accepted, or started by a worker, later
// than Bounds.KeyRevocationMs after the revocation was acknowledged.
func (run *scenarioRun) checkRevokedKeys(log *loadgen.OutcomeLog, journals map[string][]workersim.Run) {
	revokedMs := map[string]int64{} // by request ID: Unix time at which the revocation of its key was acknowledged
	for _, outcome := range log.All() {
		if revokedAtMs, ok := run.keyRevokedMs[outcome.Request.Key]; ok {
			revokedMs[outcome.Request.ID] = revokedAtMs
		}
	}
	for name, runs := range journals {
		for _, workerRun := range runs {
			if revokedAtMs, ok := revokedMs[workerRun.RequestID]; ok && workerRun.AtMs > revokedAtMs+int64(run.fleet.Site.Processes[0].Settings.Bounds.KeyRevocationMs) {
				run.addViolation("worker %s started request %s %d ms after the API key of the request was revoked", name, workerRun.RequestID, workerRun.AtMs-revokedAtMs)
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
			run.addViolation("request %s: an API key that had been revoked %d ms earlier was accepted", outcome.Request.ID, outcome.SentMs-revokedAtMs)
		} else if outcome.Rejected == "bad-key" {
			rejected++
		}
	}
	if len(run.keyRevokedMs) > 0 && late == 0 && rejected == 0 {
		run.addViolation("no request used a revoked API key after the revocation bound of %d ms, so that revocation was not checked", bound)
	}
}

// checkWeightsAndDraining checks that no worker starts a request on superseded weights later than Bounds.WeightsMs after
// newer ones were acknowledged, or later than Bounds.LeaveMs after the worker was drained.
func (run *scenarioRun) checkWeightsAndDraining(journals map[string][]workersim.Run) {
	bounds := run.fleet.Site.Processes[0].Settings.Bounds
	newer := map[uint64]int{}
	for name, runs := range journals {
		for _, workerRun := range runs {
			for weights, atMs := range run.weightsSetMs {
				if workerRun.Weights < weights && workerRun.AtMs > atMs+int64(bounds.WeightsMs) {
					run.addViolation("worker %s started request %s on weights %d, %d ms after version %d of the weights was acknowledged to an operator", name, workerRun.RequestID, workerRun.Weights, workerRun.AtMs-atMs, weights)
				}
				if workerRun.Weights >= weights {
					newer[weights]++
				}
			}
			if atMs, ok := run.drainedMs[name]; ok && workerRun.AtMs > atMs+int64(bounds.LeaveMs) {
				run.addViolation("worker %s started request %s %d ms after the worker was drained", name, workerRun.RequestID, workerRun.AtMs-atMs)
			}
		}
	}
	for weights := range run.weightsSetMs {
		if newer[weights] == 0 {
			run.addViolation("no worker ran a request on version %d or newer of the model weights, although an operator had set that version", weights)
		}
	}
}

// checkRetryBudget checks that in every retry window the runs beyond the first of each request stay within the retry
// budget: Bounds.RetryPercent of the requests in the window plus Bounds.RetryAllowance.
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
	allowance := float64(max(bounds.RetryAllowance, len(run.fleet.Site.Edges))) // number of retries allowed beyond the percentage: it is split between the edge machines, each of which may make at least one
	if extraRuns, firstRuns := worstWindow(extra, first, int64(bounds.RetryWindowMs), float64(bounds.RetryPercent)/100); float64(extraRuns) > float64(bounds.RetryPercent)/100*float64(firstRuns)+allowance {
		run.addViolation("retry budget exceeded: %d extra runs on workers, after the first run of a request, with %d requests in a retry window of %d ms, want at most %d %% of the requests plus %.0f", extraRuns, firstRuns, bounds.RetryWindowMs, bounds.RetryPercent, allowance)
	}
}

// worstWindow returns the numbers of extra runs (runs on workers after the first one of a request: retries) and of
// client requests in the time window, of span milliseconds and at any start, in which the extra runs exceed the given
// share of the requests by the most. Requests up to a tenth of the window before its start count too, because an edge
// node may retry that much later than it received the request that raised its retry budget.
func worstWindow(extra, first []int64, span int64, share float64) (extraRuns, firstRuns int) {
	slices.Sort(extra)
	slices.Sort(first)
	count := func(times []int64, from, to int64) int { // number of times t with from <= t < to
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

// checkConfigurationsAgree checks that every operator address returns the same configuration, at a version not older
// than the latest that was acknowledged to an operator.
func (run *scenarioRun) checkConfigurationsAgree(ctx context.Context) {
	bodies := map[string][]string{}
	for _, addr := range run.fleet.Site.Operators {
		code, body := run.fleet.Get(ctx, addr, "/v1/setup")
		var response struct {
			Version       int64           `json:"epoch"`
			Configuration json.RawMessage `json:"setup"`
		}
		if code != 200 || json.Unmarshal([]byte(body), &response) != nil {
			run.addViolation("operator address %s doesn't return the configuration: status %d, body %.200s", addr, code, body)
			continue
		}
		if response.Version < run.acknowledgedVersion {
			run.addViolation("operator address %s returned configuration version %d, although version %d had been acknowledged", addr, response.Version, run.acknowledgedVersion)
		}
		content := fmt.Sprintf("%d %s", response.Version, response.Configuration)
		bodies[content] = append(bodies[content], addr)
	}
	if len(bodies) > 1 {
		run.addViolation("the operator addresses return %d different configurations, want 1", len(bodies))
	}
}
