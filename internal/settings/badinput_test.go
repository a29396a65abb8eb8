package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

// completeFile is a valid settings file that sets every field.
const completeFile = `{"name":"edge-1","district":"d","listen":"127.0.0.1:1","tell":"127.0.0.1:2","public":"127.0.0.1:3","operator":"127.0.0.1:4",
	"operator_key":"0123456789abcdef","seeds":["127.0.0.1:5","127.0.0.1:6","127.0.0.1:7"],"core":["a","b","c","d"],"data":"/d",
	"runner":"127.0.0.1:8","rank":"127.0.0.1:9","extra":["k=v"],"bounds":{"setup_ms":2001,"key_ms":5001,"leave_ms":3001,"weights_ms":20001,
	"heal_ms":12001,"try_share":21,"try_span_ms":10001,"try_allow":11,"once_ms":1800001,"body_kb":513,"waiting":257,"entries":60001}}`

// badValues are, by field, values that must be rejected: of the wrong type, malformed or out of range.
var badValues = map[string][]string{
	"name":         {`7`, `""`, `"edge 1"`, `"a/b"`, `"a,b"`},
	"district":     {`7`, `""`},
	"listen":       {`7`, `""`, `"localhost:80"`, `"127.0.0.1"`, `"127.0.0.1:0"`, `"127.0.0.1:99999"`},
	"tell":         {`7`, `"localhost:80"`},
	"public":       {`7`, `""`, `"edge:1"`},
	"operator":     {`7`, `""`, `"127.0.0.1"`},
	"operator_key": {`7`, `"short"`, `"with spaces between"`},
	"seeds":        {`"127.0.0.1:5"`, `[]`, `["127.0.0.1:5","127.0.0.1:6"]`, `["127.0.0.1:5","127.0.0.1:6","x"]`, `[1,2,3]`},
	"core":         {`"a"`, `[]`, `["a","b","c"]`},
	"data":         {`7`, `""`},
	"runner":       {`7`, `""`, `"runner"`},
	"rank":         {`7`, `""`, `"rank:1"`},
	"extra":        {`7`, `"k=v"`},
	"bounds":       {`7`, `"x"`, `[]`},

	"bounds.setup_ms":    {`"x"`, `1.5`, `0`, `60001`},
	"bounds.key_ms":      {`"x"`, `2000`, `120001`},
	"bounds.leave_ms":    {`"x"`, `299`, `60001`},
	"bounds.weights_ms":  {`"x"`, `2000`, `600001`},
	"bounds.heal_ms":     {`"x"`, `999`, `600001`},
	"bounds.try_share":   {`"x"`, `-1`, `101`},
	"bounds.try_span_ms": {`"x"`, `999`, `600001`},
	"bounds.try_allow":   {`"x"`, `-1`, `10001`},
	"bounds.once_ms":     {`"x"`, `599999`, `86400001`},
	"bounds.body_kb":     {`"x"`, `0`, `16385`},
	"bounds.waiting":     {`"x"`, `0`, `65537`},
	"bounds.entries":     {`"x"`, `99`, `10000001`},
}

// fieldNames returns the JSON names of a struct's fields, each with prefix prepended.
func fieldNames(structType reflect.Type, prefix string) (names []string) {
	for i := range structType.NumField() {
		if name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ","); name != "" && name != "-" {
			names = append(names, prefix+name)
		}
	}
	return names
}

// withValue returns completeFile with the value of one field replaced; value is JSON.
func withValue(t *testing.T, field, value string) []byte {
	t.Helper()
	var file map[string]json.RawMessage
	if err := json.Unmarshal([]byte(completeFile), &file); err != nil {
		t.Fatalf("decode the complete settings file: %v", err)
	}
	if name, inBounds := strings.CutPrefix(field, "bounds."); inBounds {
		var bounds map[string]json.RawMessage
		if err := json.Unmarshal(file["bounds"], &bounds); err != nil {
			t.Fatalf("decode the bounds of the complete settings file: %v", err)
		}
		bounds[name] = json.RawMessage(value)
		raw, err := json.Marshal(bounds)
		if err != nil {
			t.Fatalf("encode bounds with %s = %s: %v", name, value, err)
		}
		field, value = "bounds", string(raw)
	}
	file[field] = json.RawMessage(value)
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatalf("encode settings file with %s = %s: %v", field, value, err)
	}
	return raw
}

// Every field of a settings file rejects values of the wrong type and out of range, with an error that names the field.
// The test fails for a field without bad values, so that none is forgotten.
func TestEveryFieldRejectsBadValues(t *testing.T) {
	fields := append(fieldNames(reflect.TypeFor[Process](), ""), fieldNames(reflect.TypeFor[Bounds](), "bounds.")...)
	for _, field := range fields {
		if len(badValues[field]) == 0 {
			t.Errorf("field %s has no bad values in this test", field)
		}
	}
	if len(fields) != len(badValues) {
		t.Errorf("the settings have %d fields, but badValues has %d: remove those that no longer exist", len(fields), len(badValues))
	}
	for field, values := range badValues {
		for _, value := range values {
			var faults errs.Batch
			process := Process{Bounds: DefaultBounds()}
			Decode(withValue(t, field, value), "x.json", &process, &faults)
			Validate(&process, Required{true, true, true, true, true, true, true}, "x.json", &faults)
			if err := faults.Err(); err == nil || errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), "x.json: "+field) {
				t.Errorf("settings file with %s = %s: error %v, want one of kind %s that names the field", field, value, err, errs.BadInput.Name)
			}
		}
	}
}
