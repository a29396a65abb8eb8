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

// Timing of documents, as ratios of the leave bound.
const (
	documentTimeoutRatio = 0.5      // timeout of reading or writing one document
	writeRetryRatio      = 1.0 / 40 // between two attempts to write a document
)

// errNotHolder means that this process no longer holds the lease under which it would write.
var errNotHolder = errors.New("the lease is no longer held")

// storedDocument is a document as it was last read or written.
type storedDocument struct {
	version uint64
	body    []byte
	current bool // false once a write has failed: it may have been applied
}

// documentWriter writes the documents of one session. A write carries the session's fencing token and
// the version that was read, so that a past holder can't change anything.
type documentWriter struct {
	store        stateStore
	currentToken func() (uint64, bool)
	holder       string
	bounds       settings.Bounds
	stored       map[string]*storedDocument // by key
}

func newDocumentWriter(store stateStore, currentToken func() (uint64, bool), holder string, bounds settings.Bounds) *documentWriter {
	return &documentWriter{store: store, currentToken: currentToken, holder: holder, bounds: bounds, stored: map[string]*storedDocument{}}
}

// read fetches a document, or all documents whose keys have the prefix.
func (w *documentWriter) read(ctx context.Context, key string, prefix bool) ([]*wire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, w.bounds.Leave(documentTimeoutRatio))
	defer cancel()
	response, err := w.store.Read(ctx, &wire.ReadRequest{Key: key, Prefix: prefix})
	if err != nil {
		return nil, errs.Wrap(err, "read "+key)
	}
	if !prefix {
		w.stored[key] = &storedDocument{current: true}
	}
	for _, document := range response.Documents {
		w.stored[document.Key] = &storedDocument{document.Version, document.Body, true}
	}
	return response.Documents, nil
}

// write replaces a document's body. It returns errNotHolder if the lease is no longer held.
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
		stored.current = false // read it again before the next attempt
		return errs.Wrap(err, "write "+key)
	}
	stored.version, stored.body = response.Version, body
	return nil
}

// pendingWrites holds the bodies to write, and the callback of each once it is written; both by key.
type pendingWrites struct {
	bodies    map[string][]byte
	onWritten map[string]func()
}

// sequence is the order in which documents are written: the worker list first, so that a worker isn't
// back in service before its weights are published.
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

// run writes pending documents on every wake-up until ctx ends.
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

// writeAll writes a batch up to the first failure. What wasn't written stays pending, and the next batch
// holds it again, or a newer body in its place.
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
