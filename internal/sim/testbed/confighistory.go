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

// Time-outs and attempts of a run's simulated operators and readers.
const (
	operatorTimeout    = 3 * time.Second // of one attempt: the node may be frozen
	operatorAttempts   = 6               // of one change whose outcome is unknown
	mustChangeAttempts = 40              // of a change that the run depends on
	readerPause        = 60 * time.Millisecond
	readerTimeout      = time.Second
	retryPause         = 100 * time.Millisecond
	checkTime          = 30 * time.Second // for the linearizability checker
)

// configurationKey is the document whose history is recorded.
const configurationKey = "configuration"

// unrecordedSteps are actions that change the configuration by calls that the history doesn't record.
var unrecordedSteps = []string{"retire", "retire-ask", "retired", "release", "swap"}

// isJudged reports whether the history holds all of a scenario's configuration changes, so that it can be checked.
func (scenario Scenario) isJudged() bool {
	return !slices.ContainsFunc(scenario.Steps, func(step Step) bool { return slices.Contains(unrecordedSteps, step.Action) || isUndo(step) })
}

// configurationChange is an operator's partial change of the configuration.
type configurationChange struct {
	token string
	base  *uint64 // nil: whatever version is in force
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
	return raw, errs.Wrap(err, "write a change")
}

// change sends a change to the operator address with the index first, and retries at the following addresses
// while the outcome is unknown. It returns the new version if the change was acknowledged.
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

// mustChange sends a change until it is acknowledged.
func (run *scenarioRun) mustChange(ctx context.Context, c configurationChange) error {
	for range mustChangeAttempts / operatorAttempts {
		if _, ok := run.change(ctx, c, run.randomBelow(len(run.fleet.Site.Operators))); ok {
			return nil
		}
	}
	return errs.New(errs.OutcomeUnknown, "%s: it was never acknowledged", c.token)
}

// attempt sends a change once and records the outcome.
func (run *scenarioRun) attempt(ctx context.Context, change configurationChange, raw []byte, addr string) (history.Outcome, uint64) {
	attemptCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	attempt := run.history.BeginAttempt(change.operation())
	code, body := run.fleet.Post(attemptCtx, addr, "/v1/setup", raw)
	var answer struct {
		Version uint64 `json:"epoch"`
		Kind    string `json:"kind"`
	}
	if json.Unmarshal([]byte(body), &answer) != nil {
		return history.Unknown, 0
	}
	switch {
	case code == 200:
		attempt.Complete(history.Acknowledged, answer.Version)
		run.mu.Lock()
		run.acknowledgedVersion = max(run.acknowledgedVersion, int64(answer.Version))
		run.mu.Unlock()
		return history.Acknowledged, answer.Version
	case answer.Kind == errs.Conflict.Name && change.base != nil:
		attempt.Complete(history.Rejected, 0)
		return history.Rejected, 0
	case answer.Kind == errs.Conflict.Name: // it was merged onto a version that has been superseded
		attempt.Complete(history.NotExecuted, 0)
		return history.NotExecuted, 0
	case answer.Kind == errs.BadInput.Name:
		attempt.Complete(history.Invalid, 0)
		return history.Invalid, 0
	}
	return history.Unknown, 0
}

// read reads the configuration at an operator address and records the result.
func (run *scenarioRun) read(ctx context.Context, addr string, timeout time.Duration) (version uint64, ok bool) {
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	operation := run.history.BeginRead(configurationKey)
	code, body := run.fleet.Get(readCtx, addr, "/v1/setup")
	var answer struct {
		Version       uint64          `json:"epoch"`
		Configuration json.RawMessage `json:"setup"`
	}
	if code != 200 || json.Unmarshal([]byte(body), &answer) != nil {
		return 0, false
	}
	operation.Complete(answer.Version, digest(answer.Configuration))
	return answer.Version, true
}

func digest(raw []byte) string {
	const shown = 8
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:shown])
}

// readSomewhere reads the configuration at the first of several random addresses that answers.
func (run *scenarioRun) readSomewhere(ctx context.Context) (uint64, error) {
	for range operatorAttempts {
		if version, ok := run.read(ctx, run.fleet.Site.Operators[run.randomBelow(len(run.fleet.Site.Operators))], operatorTimeout); ok {
			return version, nil
		}
	}
	return 0, errs.New(errs.OutcomeUnknown, "no operator address returns the configuration")
}

// beginHistory starts the history with the configuration that is in force.
func (run *scenarioRun) beginHistory(ctx context.Context) error {
	run.history = &history.History{}
	version, err := run.readSomewhere(ctx)
	if err != nil {
		return err
	}
	run.history = &history.History{}
	run.history.BeginAttempt(history.Change{Key: configurationKey, Token: "first", NewVersion: version}).Complete(history.Acknowledged, version)
	return nil
}

// readUntilDone reads the configuration at each address in turn until ctx is done.
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

// checkHistory checks the recorded history of the configuration for linearizability.
func (run *scenarioRun) checkHistory(ctx context.Context) {
	if !run.scenario.isJudged() {
		return
	}
	if err := run.completeCalendarEntries(ctx); err != nil {
		run.addFault("history: %v", err)
		return
	}
	v := run.history.Check(checkTime)
	run.report.Judged, run.report.Unclear = v.Operations, v.Indeterminate
	for _, f := range v.Violations {
		run.addFault("%s", f)
	}
}
