package wire

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Numbers and types of fields are on the wire and on disk: testdata/fields.txt has those that are in use. A
// new field adds a line; a line only changes with the name of its message.
func TestFieldNumbersAreStable(t *testing.T) {
	raw, err := os.ReadFile("testdata/fields.txt")
	if err != nil {
		t.Fatal(err)
	}
	got, want := describeFields(File_internal_wire_wire_proto.Messages()), strings.Split(strings.TrimSpace(string(raw)), "\n")
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			t.Fatalf("missing: %s", want[i])
		case i >= len(want):
			t.Fatalf("not listed: %s", got[i])
		case got[i] != want[i]:
			t.Fatalf("field %q, want %q", got[i], want[i])
		}
	}
}

// describeFields returns a line for each field: its message, number, cardinality and type.
func describeFields(messages protoreflect.MessageDescriptors) (lines []string) {
	for i := range messages.Len() {
		message := messages.Get(i)
		fields := message.Fields()
		for j := range fields.Len() {
			field := fields.Get(j)
			kind := field.Kind().String()
			switch {
			case field.IsMap():
				kind = fmt.Sprintf("map of %s to %s", field.MapKey().Kind(), field.MapValue().Kind())
			case field.Message() != nil:
				kind = string(field.Message().Name())
			case field.Enum() != nil:
				kind = string(field.Enum().Name())
			}
			lines = append(lines, fmt.Sprintf("%s %d %s %s", message.Name(), field.Number(), field.Cardinality(), kind))
		}
	}
	return lines
}
