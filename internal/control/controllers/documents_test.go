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

// scriptedStore is a simulated control state that holds one document.
type scriptedStore struct {
	document *wire.Document
	changes  int   // number of changes applied to the document
	err      error // error to return from Change in place of applying it; nil for none
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

// A document is written only while this process holds the site's lease, and not again while its body is unchanged.
// After a failed write, the next write reads the document first and expects the version that it read.
func TestWriteDocument(t *testing.T) {
	store := &scriptedStore{document: &wire.Document{Key: "k", Body: []byte("1"), Version: 7}}
	isHolder := false
	writer := newDocumentWriter(store, func() (uint64, bool) { return 4, isHolder }, "core-1/1", bounds())
	if err := writer.write(t.Context(), "k", []byte("2")); !errors.Is(err, errNotHolder) || store.changes != 0 {
		t.Errorf("document write while the lease is not held: error %v, want errNotHolder; %d changes applied, want 0", err, store.changes)
	}
	isHolder = true
	for range 2 {
		if err := writer.write(t.Context(), "k", []byte("2")); err != nil || store.changes != 1 || store.document.Version != 8 {
			t.Errorf("document write on top of version 7, made twice with the same body: error %v; %d changes applied, want 1; document version %d, want 8", err, store.changes, store.document.Version)
		}
	}
	store.err = errs.New(errs.Conflict, "simulated control state: document version differs from the expected one")
	if err := writer.write(t.Context(), "k", []byte("3")); errs.KindOf(err) != errs.Conflict {
		t.Errorf("document write that the control state rejects for its expected version: error %v, want one of kind errs.Conflict", err)
	}
	store.err, store.document = nil, &wire.Document{Key: "k", Body: []byte("x"), Version: 20}
	if err := writer.write(t.Context(), "k", []byte("3")); err != nil || store.document.Version != 21 {
		t.Errorf("document write after a conflict, with version 20 stored: error %v; document version %d, want 21", err, store.document.Version)
	}
}

// In a batch of document writes, the worker list comes first, so that a worker's new weights are published before a
// placement uncordons it.
func TestWorkerListIsWrittenFirst(t *testing.T) {
	writes := pendingWrites{bodies: map[string][]byte{fleet.PlacementKey + "a": nil, fleet.WorkersKey: nil, fleet.PlacementKey + "b": nil}}
	want := []string{fleet.WorkersKey, fleet.PlacementKey + "a", fleet.PlacementKey + "b"}
	if got := writes.sequence(); !slices.Equal(got, want) {
		t.Errorf("document keys of a batch in the order of their writes: %v, want the worker list before the placements: %v", got, want)
	}
}
