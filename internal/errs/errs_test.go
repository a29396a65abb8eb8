package errs

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// Clients and scripts depend on the names, statuses and exit codes of error kinds, so these must not change.
func TestKindsAreStable(t *testing.T) {
	want := map[string]struct{ httpStatus, exitCode int }{
		"bad-input": {400, 2}, "bad-key": {401, 3}, "bad-operator-key": {401, 3}, "no-such-model": {404, 4}, "not-found": {404, 4},
		"epoch-conflict": {409, 5}, "too-big": {413, 2}, "over-budget": {429, 6}, "overloaded": {503, 6}, "expired": {504, 6},
		"not-run": {503, 6}, "may-have-run": {502, 7}, "cant-say": {503, 8}, "not-as-due": {409, 1}, "not-here": {501, 10},
		"disk-bad": {500, 9}, "inside": {500, 9},
	}
	if len(Kinds()) != len(want) {
		t.Errorf("Kinds returned %d kinds, want %d", len(Kinds()), len(want))
	}
	for _, kind := range Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			if w, known := want[kind.Name]; !known || kind.HTTPStatus != w.httpStatus || kind.ExitCode != w.exitCode || kind.Remedy == "" {
				t.Errorf("kind %+v: want HTTP status and exit code %+v, and a remedy", kind, w)
			}
			if KindNamed(kind.Name) != kind {
				t.Errorf("KindNamed(%q) returned a different kind: %+v", kind.Name, KindNamed(kind.Name))
			}
		})
	}
	if KindNamed("unknown") != Internal {
		t.Errorf("KindNamed of an unknown name returned kind %s, want %s", KindNamed("unknown").Name, Internal.Name)
	}
}

func TestKindOfWrappedErrors(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want *Kind
		text string
	}{
		{"error without a kind", io.EOF, Internal, "EOF"},
		{"error created by New", New(Conflict, "version %d", 3), Conflict, "version 3"},
		{"error wrapped by Wrap", Wrap(New(Conflict, "version 3"), "apply"), Conflict, "apply: version 3"},
		{"error wrapped by WrapAs", WrapAs(io.EOF, DiskFailure, "sync log"), DiskFailure, "sync log: EOF"},
		{"error wrapped by WrapAs with another kind", WrapAs(New(Conflict, "x"), BadInput, "y"), BadInput, "y: x"},
		{"error wrapped by fmt.Errorf", fmt.Errorf("z: %w", New(Conflict, "x")), Conflict, "z: x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if KindOf(test.err) != test.want || test.err.Error() != test.text {
				t.Errorf("error has message %q and kind %s, want message %q and kind %s", test.err, KindOf(test.err).Name, test.text, test.want.Name)
			}
		})
	}
	if err := WrapAs(io.EOF, DiskFailure, "sync log"); !errors.Is(err, io.EOF) {
		t.Errorf("errors.Is(%v, io.EOF) is false after WrapAs", err)
	}
	if Wrap(nil, "x") != nil || WrapAs(nil, Conflict, "x") != nil {
		t.Error("Wrap or WrapAs of a nil error returned a non-nil error")
	}
}

func TestBatch(t *testing.T) {
	var batch Batch
	if batch.Add("read", nil); batch.Err() != nil {
		t.Errorf("Err of an empty batch returned %v, want nil", batch.Err())
	}
	batch.Addf(BadKey, "key %q", "k")
	if err := batch.Err(); KindOf(err) != BadKey || err.Error() != `key "k"` {
		t.Errorf("Err of a batch with one error returned %v, want that error", err)
	}
	batch.Add("read", io.EOF)
	if err := batch.Err(); KindOf(err) != BadKey || err.Error() != `2 faults: key "k"; read: EOF` {
		t.Errorf("Err of a batch with two errors returned %v, want both messages and the kind of the first", err)
	}
	if lines := batch.Lines(); len(lines) != 2 || lines[1] != "read: EOF" {
		t.Errorf("Lines returned %q, want two messages, the second \"read: EOF\"", lines)
	}
}
