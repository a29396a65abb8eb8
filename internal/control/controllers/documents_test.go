package controllers

import (
	"context"
	"errors"
	"slices"
	"testing"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// scriptedStore is a control state that holds one document and counts its changes.
type scriptedStore struct {
	document *wire.Document
	changes  int
	err      error // returned by Change, if set
}

func (s *scriptedStore) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	return &wire.ReadResponse{Outcome: wire.OutcomeDone, Documents: []*wire.Document{s.document}}, nil
}

func (s *scriptedStore) Change(_ context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	if s.err != nil {
		return nil, s.err
	}
	put := request.Command.GetPut()
	s.document = &wire.Document{Key: put.Key, Body: put.Body, Version: put.IfVersion + 1}
	s.changes++
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: s.document.Version}, nil
}

// A document is written only while the lease is held, and not again while its body is unchanged. After a failed
// write, it is read again and written with the version that was read.
func TestWriteDocument(t *testing.T) {
	store := &scriptedStore{document: &wire.Document{Key: "k", Body: []byte("1"), Version: 7}}
	isHolder := false
	writer := newDocumentWriter(store, func() (uint64, bool) { return 4, isHolder }, "core-1/1", bounds())
	if err := writer.write(t.Context(), "k", []byte("2")); !errors.Is(err, errNotHolder) || store.changes != 0 {
		t.Errorf("write without the lease: error %v, want errNotHolder; %d changes, want 0", err, store.changes)
	}
	isHolder = true
	for range 2 {
		if err := writer.write(t.Context(), "k", []byte("2")); err != nil || store.changes != 1 || store.document.Version != 8 {
			t.Errorf("write of an 8th version, repeated with the same body: error %v, %d changes, want 1; version %d, want 8", err, store.changes, store.document.Version)
		}
	}
	store.err = errs.New(errs.Conflict, "document has another version")
	if err := writer.write(t.Context(), "k", []byte("3")); errs.KindOf(err) != errs.Conflict {
		t.Errorf("write with an outdated version: error %v, want kind errs.Conflict", err)
	}
	store.err, store.document = nil, &wire.Document{Key: "k", Body: []byte("x"), Version: 20}
	if err := writer.write(t.Context(), "k", []byte("3")); err != nil || store.document.Version != 21 {
		t.Errorf("write after a conflict: error %v; version %d, want 21", err, store.document.Version)
	}
}

func TestWorkerListIsWrittenFirst(t *testing.T) {
	writes := pendingWrites{bodies: map[string][]byte{fleet.PlacementKey + "a": nil, fleet.WorkersKey: nil, fleet.PlacementKey + "b": nil}}
	want := []string{fleet.WorkersKey, fleet.PlacementKey + "a", fleet.PlacementKey + "b"}
	if got := writes.sequence(); !slices.Equal(got, want) {
		t.Errorf("order of writes: %v, want the worker list first: %v", got, want)
	}
}
