package calendar

import (
	"encoding/json"
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

func TestConflictNamesBothEntries(t *testing.T) {
	release, weights := newEntry(Entry{Kind: KindRelease}), newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 3})
	weights.Name = "other"
	err := release.CheckConflicts([]*Entry{weights})
	if err == nil || !strings.Contains(err.Error(), `"e"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("%v", err)
	}
	if weights.State = StateDone; release.CheckConflicts([]*Entry{weights}) != nil {
		t.Error("conflicts with one that is done")
	}
}

func TestValidateReportsEveryFault(t *testing.T) {
	var faults errs.Batch
	(&Entry{Kind: "x", MaxFailureRatio: 2, NotBefore: "noon"}).Validate(&faults)
	if n := len(faults.Lines()); n != 5 {
		t.Errorf("%d faults: %v", n, faults.Lines())
	}
}

func TestDecodeReadsWhatIsEncoded(t *testing.T) {
	raw, err := json.Marshal(newEntry(Entry{Kind: KindRelease}))
	if err != nil {
		t.Fatal(err)
	}
	if entry, err := Decode(raw); err != nil || entry.Kind != KindRelease {
		t.Errorf("%v %v", entry, err)
	}
}
