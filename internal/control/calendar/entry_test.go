package calendar

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

// Two active calendar entries of one service conflict, and the error names both. An entry that is done
// conflicts with none.
func TestConflictNamesBothEntries(t *testing.T) {
	release, weights := newEntry(Entry{Kind: KindRelease}), newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 3})
	weights.Name = "other"
	err := release.CheckConflicts([]*Entry{weights})
	if err == nil || !strings.Contains(err.Error(), `"e"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("two active calendar entries of one service: error %v, want one that names both entries", err)
	}
	if weights.State = StateDone; release.CheckConflicts([]*Entry{weights}) != nil {
		t.Error("CheckConflicts reports a conflict with a calendar entry that is done")
	}
}

// A calendar entry with five faults gets an error for each of them, not only for the first.
func TestValidateReportsEveryFault(t *testing.T) {
	var faults errs.Batch
	(&Entry{Kind: "x", MaxFailureRatio: 2, NotBefore: "noon"}).Validate(&faults)
	if n := len(faults.Lines()); n != 5 {
		t.Errorf("Entry.Validate reported %d faults, want 5: %v", n, faults.Lines())
	}
}

func TestDecodeReadsWhatIsEncoded(t *testing.T) {
	raw, err := json.Marshal(newEntry(Entry{Kind: KindRelease}))
	if err != nil {
		t.Fatal(err)
	}
	if entry, err := Decode(raw); err != nil || entry.Kind != KindRelease {
		t.Errorf("decode an encoded calendar entry of kind release: entry %v, error %v, want the same kind and no error", entry, err)
	}
}

// Each field of a calendar entry rejects a JSON value of the wrong type, and the error names the field.
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
			t.Errorf("calendar entry field %s with the value %s: error %v, want the kind BadInput with the field's name", name, value, err)
		}
	}
}
