package calendar

import (
	"encoding/json"
	"reflect"
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

// A value of another type is rejected in each field of an entry, and the error names the field.
func TestEveryFieldRejectsOtherTypes(t *testing.T) {
	fields := reflect.TypeFor[Entry]()
	for i := range fields.NumField() {
		name, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
		value := "{}"
		if fields.Field(i).Type.Kind() != reflect.String {
			value = `"text"`
		}
		_, err := Decode([]byte(`{"` + name + `": ` + value + `}`))
		if err == nil || errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), "Entry."+name) {
			t.Errorf("%s: %s: %v", name, value, err)
		}
	}
}
