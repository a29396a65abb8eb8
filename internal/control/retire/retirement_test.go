package retire

import (
	"encoding/json"
	"slices"
	"testing"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// In all sequences of a few requests of two operators, a repeated verb changes nothing more than the first,
// nothing is aborted after the barrier, and whatever has ended stays ended.
func TestVerbsAreIdempotentInEverySequence(t *testing.T) {
	const barrier = "barrier" // not a verb: the barrier is passed
	verbs := []string{verbStart, verbPause, verbResume, verbAbort, barrier}
	var sequences [][]string
	var grow func([]string)
	grow = func(sequence []string) {
		if sequences = append(sequences, slices.Clone(sequence)); len(sequence) < 5 {
			for _, verb := range verbs {
				grow(append(sequence, verb))
			}
		}
	}
	grow(nil)
	for _, sequence := range sequences {
		retirement, pastBarrier, ended := newPlan(), false, State("")
		for _, verb := range sequence {
			if verb == barrier {
				if retirement.State == StateRunning {
					retirement.transition(StateRunning, PhaseDrop, "")
					pastBarrier = true
				}
				continue
			}
			before := retirement.clone()
			err := retirement.ApplyVerb(verb)
			if err != nil && (retirement.State != before.State || retirement.Phase != before.Phase) {
				t.Fatalf("%v: rejected, yet it went from %s to %s", sequence, before.State, retirement.State)
			}
			once := retirement.clone()
			if err == nil {
				if err := retirement.ApplyVerb(verb); err != nil || retirement.State != once.State || retirement.Phase != once.Phase || len(retirement.History) != len(once.History) {
					t.Fatalf("%v: %s again: %v, %s after %s", sequence, verb, err, retirement.State, once.State)
				}
			}
			if pastBarrier && (retirement.State == StateAborting || retirement.State == StateAborted) {
				t.Fatalf("%v: aborted after the barrier", sequence)
			}
			if ended != "" && retirement.State != ended {
				t.Fatalf("%v: %s after it was %s", sequence, retirement.State, ended)
			}
			if !retirement.Active() || retirement.State == StateAborting {
				ended = retirement.State
			}
		}
	}
	if len(sequences) != 3906 {
		t.Errorf("%d sequences", len(sequences))
	}
}

// A document is read as it was written, and an unknown field is rejected.
func TestDocumentIsReadAsWritten(t *testing.T) {
	retirement := newPlan()
	retirement.RecordProof("w1", "incarnation", NewWeightSet(&serviceconfig.Config{}, "new", nil))
	body, err := retirement.Write()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Read(body)
	encoded, _ := json.Marshal(decoded) // plain fields: can't fail
	if err != nil || string(body) != string(encoded) {
		t.Errorf("%s %v", encoded, err)
	}
	if _, err := Read([]byte(`{"pace":3}`)); errs.KindOf(err) != errs.BadInput {
		t.Errorf("%v", err)
	}
}
