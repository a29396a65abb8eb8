package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/history"
)

// Time-outs, pauses and numbers of attempts of the simulated operators who change and read the configuration.
const (
	operatorTimeout    = 3 * time.Second        // time limit of one attempt, since the process at the address may be stopped by SIGSTOP
	operatorAttempts   = 6                      // maximum number of attempts at a change, or at a read of the configuration
	mustChangeAttempts = 40                     // maximum number of attempts at a change without which the scenario can't go on
	readerPause        = 60 * time.Millisecond  // pause between two reads by the background reader of the configuration
	readerTimeout      = time.Second            // time limit of one read by the background reader of the configuration
	retryPause         = 100 * time.Millisecond // pause between two attempts at a change
	checkTimeout       = 30 * time.Second       // time limit of the linearizability checker
)

// configurationKey identifies the configuration in the recorded history of operations.
const configurationKey = "configuration"

// unrecordedActions are the scenario actions that change the configuration by calls that aren't recorded in the history.
var unrecordedActions = []string{"retire", "retire-ask", "retired", "release", "swap"}

// hasCompleteHistory reports whether all configuration changes of the scenario are recorded in the history, so that it
// can be checked for linearizability.
func (scenario Scenario) hasCompleteHistory() bool {
	return !slices.ContainsFunc(scenario.Steps, func(step Step) bool { return slices.Contains(unrecordedActions, step.Action) || isUndo(step) })
}

// configurationChange is a partial update of the configuration that a simulated operator sends.
type configurationChange struct {
	token string  // idempotency token, the same in all attempts
	base  *uint64 // configuration version that the change is conditional on; nil: unconditional
	patch map[string]any
}

func (c configurationChange) operation() history.Change {
	o := history.Change{Key: configurationKey, Token: c.token, AnyVersion: c.base == nil}
	if c.base != nil {
		o.BaseVersion = *c.base
	}
	return o
}

func (c configurationChange) body() ([]byte, error) {
	body := map[string]any{"partial": true, "setup": c.patch, "token": c.token}
	if c.base != nil {
		body["if_epoch"] = *c.base
	}
	raw, err := json.Marshal(body)
	return raw, errs.Wrap(err, "encode configuration change "+c.token+" as JSON")
}

// change sends a configuration change to operator address number first, and retries at the following
// addresses while its outcome is unknown or it was not executed. It returns the new version if the change was
// acknowledged.
func (run *scenarioRun) change(ctx context.Context, c configurationChange, first int) (version uint64, ok bool) {
	raw, err := c.body()
	if err != nil {
		return 0, false
	}
	for i := range operatorAttempts {
		outcome, version := run.attempt(ctx, c, raw, run.fleet.Site.Operators[(first+i)%len(run.fleet.Site.Operators)])
		switch outcome {
		case history.Acknowledged:
			return version, true
		case history.Rejected, history.Invalid:
			return 0, false
		}
		pause(ctx, retryPause)
	}
	return 0, false
}

// mustChange sends a configuration change to random operator addresses until it is acknowledged. It fails with
// errs.OutcomeUnknown after at most mustChangeAttempts attempts.
func (run *scenarioRun) mustChange(ctx context.Context, c configurationChange) error {
	for range mustChangeAttempts / operatorAttempts {
		if _, ok := run.change(ctx, c, run.randomBelow(len(run.fleet.Site.Operators))); ok {
			return nil
		}
	}
	return errs.New(errs.OutcomeUnknown, "configuration change %s was not acknowledged in %d rounds of up to %d attempts", c.token, mustChangeAttempts/operatorAttempts, operatorAttempts)
}

// attempt sends a configuration change to an operator address once and records the outcome in the history.
func (run *scenarioRun) attempt(ctx context.Context, change configurationChange, raw []byte, addr string) (history.Outcome, uint64) {
	attemptCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	attempt := run.history.BeginAttempt(change.operation())
	code, body := run.fleet.Post(attemptCtx, addr, "/v1/setup", raw)
	var response struct {
		Version uint64 `json:"epoch"`
		Kind    string `json:"kind"`
	}
	if json.Unmarshal([]byte(body), &response) != nil {
		return history.Unknown, 0
	}
	switch {
	case code == 200:
		attempt.Complete(history.Acknowledged, response.Version)
		run.mu.Lock()
		run.acknowledgedVersion = max(run.acknowledgedVersion, int64(response.Version))
		run.mu.Unlock()
		return history.Acknowledged, response.Version
	case response.Kind == errs.Conflict.Name && change.base != nil:
		attempt.Complete(history.Rejected, 0)
		return history.Rejected, 0
	case response.Kind == errs.Conflict.Name: // unconditional change: the node merged it into a version that was superseded before the commit
		attempt.Complete(history.NotExecuted, 0)
		return history.NotExecuted, 0
	case response.Kind == errs.BadInput.Name:
		attempt.Complete(history.Invalid, 0)
		return history.Invalid, 0
	}
	return history.Unknown, 0
}

// read reads the configuration at an operator address and records the version and digest in the history.
func (run *scenarioRun) read(ctx context.Context, addr string, timeout time.Duration) (version uint64, ok bool) {
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	operation := run.history.BeginRead(configurationKey)
	code, body := run.fleet.Get(readCtx, addr, "/v1/setup")
	var response struct {
		Version       uint64          `json:"epoch"`
		Configuration json.RawMessage `json:"setup"`
	}
	if code != 200 || json.Unmarshal([]byte(body), &response) != nil {
		return 0, false
	}
	operation.Complete(response.Version, digest(response.Configuration))
	return response.Version, true
}

func digest(raw []byte) string {
	const digestBytes = 8 // length of the prefix of the SHA-256 hash, enough to distinguish configurations
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:digestBytes])
}

// readAnywhere reads the configuration at random operator addresses, up to operatorAttempts times, until one returns it.
func (run *scenarioRun) readAnywhere(ctx context.Context) (uint64, error) {
	for range operatorAttempts {
		if version, ok := run.read(ctx, run.fleet.Site.Operators[run.randomBelow(len(run.fleet.Site.Operators))], operatorTimeout); ok {
			return version, nil
		}
	}
	return 0, errs.New(errs.OutcomeUnknown, "none of %d random operator addresses returned the configuration", operatorAttempts)
}

// beginHistory starts the history of operations with the present configuration as its first acknowledged change.
func (run *scenarioRun) beginHistory(ctx context.Context) error {
	run.history = &history.History{}
	version, err := run.readAnywhere(ctx)
	if err != nil {
		return err
	}
	run.history = &history.History{}
	run.history.BeginAttempt(history.Change{Key: configurationKey, Token: "first", NewVersion: version}).Complete(history.Acknowledged, version)
	return nil
}

// readUntilDone reads the configuration at each operator address in turn until ctx is done.
func (run *scenarioRun) readUntilDone(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		run.read(ctx, run.fleet.Site.Operators[i%len(run.fleet.Site.Operators)], readerTimeout)
		pause(ctx, readerPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// checkHistory checks the recorded reads and changes of the configuration for linearizability, and adds each violation
// to the report.
func (run *scenarioRun) checkHistory(ctx context.Context) {
	if !run.scenario.hasCompleteHistory() {
		return
	}
	if err := run.completeCalendarEntries(ctx); err != nil {
		run.addViolation("linearizability of the configuration was not checked: %v", err)
		return
	}
	result := run.history.Check(checkTimeout)
	run.report.Judged, run.report.Unclear = result.Operations, result.Indeterminate
	for _, f := range result.Violations {
		run.addViolation("%s", f)
	}
}
