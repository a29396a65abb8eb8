package wire

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Field numbers and types are part of the wire and disk formats, and a changed one would make older releases or
// stored data unreadable. testdata/fields.txt lists them: a new field adds a line, and an existing line may only
// change if its message is renamed.
func TestFieldNumbersAreStable(t *testing.T) {
	raw, err := os.ReadFile("testdata/fields.txt")
	if err != nil {
		t.Fatalf("read the list of field numbers: %v", err)
	}
	got, want := describeFields(File_internal_wire_wire_proto.Messages()), strings.Split(strings.TrimSpace(string(raw)), "\n")
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			t.Fatalf("field %q is in testdata/fields.txt, but not in wire.proto", want[i])
		case i >= len(want):
			t.Fatalf("field %q is in wire.proto, but not in testdata/fields.txt", got[i])
		case got[i] != want[i]:
			t.Fatalf("wire.proto has field %q, testdata/fields.txt has %q on line %d", got[i], want[i], i+1)
		}
	}
}

// describeFields returns a line for each field of the messages: message name, field number, cardinality and type.
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
