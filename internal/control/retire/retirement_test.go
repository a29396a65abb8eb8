package retire

import (
	"encoding/json"
	"slices"
	"testing"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// In every sequence of up to five steps, each a verb or the end of PhaseBarrier, repeating a verb changes
// nothing, no retirement is aborted after the barrier, and a retirement that is done, aborting or aborted
// keeps that state.
func TestVerbsAreIdempotentInEverySequence(t *testing.T) {
	const barrier = "barrier" // element of a sequence that is not a verb: the retirement completes PhaseBarrier
	verbs := []string{verbStart, verbPause, verbResume, verbAbort, barrier}
	var sequences [][]string
	var appendSequences func([]string)
	appendSequences = func(sequence []string) {
		if sequences = append(sequences, slices.Clone(sequence)); len(sequence) < 5 {
			for _, verb := range verbs {
				appendSequences(append(sequence, verb))
			}
		}
	}
	appendSequences(nil)
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
				t.Fatalf("verb sequence %v: the last verb was rejected, but the state changed from %s to %s", sequence, before.State, retirement.State)
			}
			once := retirement.clone()
			if err == nil {
				if err := retirement.ApplyVerb(verb); err != nil || retirement.State != once.State || retirement.Phase != once.Phase || len(retirement.History) != len(once.History) {
					t.Fatalf("verb sequence %v: repeating %s gave error %v and state %s, want no error and state %s", sequence, verb, err, retirement.State, once.State)
				}
			}
			if pastBarrier && (retirement.State == StateAborting || retirement.State == StateAborted) {
				t.Fatalf("verb sequence %v: the retirement was aborted after the barrier", sequence)
			}
			if ended != "" && retirement.State != ended {
				t.Fatalf("verb sequence %v: state %s after the retirement had reached %s, which is final", sequence, retirement.State, ended)
			}
			if !retirement.Active() || retirement.State == StateAborting {
				ended = retirement.State
			}
		}
	}
	if len(sequences) != 3906 {
		t.Errorf("%d verb sequences tried, want 3906, which is all of up to five steps", len(sequences))
	}
}

// A retirement is decoded as it was encoded, and an unknown field is rejected.
func TestDocumentIsReadAsWritten(t *testing.T) {
	retirement := newPlan()
	retirement.RecordProof("w1", "incarnation", NewWeightSet(&serviceconfig.Config{}, "new", nil))
	body, err := retirement.Write()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Read(body)
	encoded, _ := json.Marshal(decoded) // a struct of plain fields can always be encoded
	if err != nil || string(body) != string(encoded) {
		t.Errorf("retirement after decoding and encoding again: %s, error %v, want no change", encoded, err)
	}
	if _, err := Read([]byte(`{"pace":3}`)); errs.KindOf(err) != errs.BadInput {
		t.Errorf("retirement document with an unknown field: error %v, want the kind BadInput", err)
	}
}
