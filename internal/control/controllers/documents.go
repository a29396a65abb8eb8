package controllers

import (
	"bytes"
	"context"
	"errors"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timing of reads and writes of documents in the control state.
const (
	documentTimeoutRatio = 0.5      // timeout for reading or writing documents once, as a fraction of the worker removal bound Bounds.Leave
	writeRetryRatio      = 1.0 / 40 // pause before a failed document write is retried, as a fraction of the worker removal bound Bounds.Leave
)

// errNotHolder means that a document was not written because this process no longer holds the site's lease.
var errNotHolder = errors.New("document not written: this process no longer holds the site lease")

// storedDocument caches a document of the control state as this process last read or wrote it.
type storedDocument struct {
	version uint64
	body    []byte
	current bool // whether version and body may be relied on; false after a failed write, which may have been applied
}

// documentWriter writes the documents of one session to the control state. Each write carries the session's
// fencing token and the expected version of the document, so that the control state rejects writes of a previous
// lease holder.
type documentWriter struct {
	store        stateStore
	currentToken func() (uint64, bool) // function that returns the lease's fencing token, and whether the session holds the lease
	holder       string                // name under which this process holds the lease
	bounds       settings.Bounds
	stored       map[string]*storedDocument // cached documents by key
}

func newDocumentWriter(store stateStore, currentToken func() (uint64, bool), holder string, bounds settings.Bounds) *documentWriter {
	return &documentWriter{store: store, currentToken: currentToken, holder: holder, bounds: bounds, stored: map[string]*storedDocument{}}
}

// read fetches the document with a key or, if prefix is true, all documents whose keys begin with it.
func (w *documentWriter) read(ctx context.Context, key string, prefix bool) ([]*wire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, w.bounds.Leave(documentTimeoutRatio))
	defer cancel()
	response, err := w.store.Read(ctx, &wire.ReadRequest{Key: key, Prefix: prefix})
	if err != nil {
		return nil, errs.Wrap(err, "read document "+key)
	}
	if !prefix {
		w.stored[key] = &storedDocument{current: true}
	}
	for _, document := range response.Documents {
		w.stored[document.Key] = &storedDocument{document.Version, document.Body, true}
	}
	return response.Documents, nil
}

// write replaces the body of the document with a key, unless the stored body is the same. It returns errNotHolder if
// this process no longer holds the site's lease.
func (w *documentWriter) write(ctx context.Context, key string, body []byte) error {
	stored := w.stored[key]
	if stored == nil || !stored.current {
		if _, err := w.read(ctx, key, false); err != nil {
			return err
		}
		stored = w.stored[key]
	}
	if bytes.Equal(stored.body, body) {
		return nil
	}
	token, ok := w.currentToken()
	if !ok {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, w.bounds.Leave(documentTimeoutRatio))
	defer cancel()
	put := &wire.Put{Key: key, Body: body, IfVersion: stored.version, Lease: LeaseName, Fence: token, Holder: w.holder}
	response, err := w.store.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err != nil {
		stored.current = false // makes the next call of write read the document first
		return errs.Wrap(err, "write document "+key)
	}
	stored.version, stored.body = response.Version, body
	return nil
}

// pendingWrites is a batch of documents to write to the control state.
type pendingWrites struct {
	bodies    map[string][]byte // document bodies to write, by document key
	onWritten map[string]func() // callbacks that are run when a document has been written, by document key
}

// sequence returns the document keys of the batch in the order in which the documents are written. The worker list
// comes first, so that a worker's new weights are published before a placement uncordons that worker.
func (p pendingWrites) sequence() []string {
	keys := maputil.SortedKeys(p.bodies)
	for i, key := range keys {
		if key == fleet.WorkersKey {
			copy(keys[1:i+1], keys[:i])
			keys[0] = key
		}
	}
	return keys
}

// run writes the documents that pending returns each time it receives from wake, until ctx is done.
func (w *documentWriter) run(ctx context.Context, wake <-chan struct{}, pending func() pendingWrites, logError func(error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for batch := pending(); len(batch.bodies) > 0 && ctx.Err() == nil; batch = pending() {
			w.writeAll(ctx, batch, logError)
		}
	}
}

// writeAll writes a batch of documents and stops at the first failed write. The documents that were not written are
// part of the next batch, possibly with newer bodies.
func (w *documentWriter) writeAll(ctx context.Context, batch pendingWrites, logError func(error)) {
	for _, key := range batch.sequence() {
		if err := w.write(ctx, key, batch.bodies[key]); err != nil {
			if !errors.Is(err, errNotHolder) && ctx.Err() == nil {
				logError(err)
			}
			clock.Sleep(ctx, w.bounds.Leave(writeRetryRatio))
			return
		}
		batch.onWritten[key]()
	}
}
