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

// Timing of document reads and writes, as fractions of Bounds.Leave.
const (
	documentTimeoutRatio = 0.5      // timeout of one read or write
	writeRetryRatio      = 1.0 / 40 // pause before a failed write is retried
)

// errNotHolder means that a document was not written because this process no longer holds the site's lease.
var errNotHolder = errors.New("document not written: this process no longer holds the site lease")

// storedDocument caches a document as it was last read or written.
type storedDocument struct {
	version uint64
	body    []byte
	current bool // false after a failed write, which may have been applied nevertheless
}

// documentWriter writes the documents of one session. Each write carries the session's fencing token and
// the expected version of the document, so that the control state rejects writes of a previous lease holder.
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

// write replaces the body of a document, unless it is unchanged. It returns errNotHolder if the lease is no
// longer held.
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
		stored.current = false // the next attempt reads the document again
		return errs.Wrap(err, "write document "+key)
	}
	stored.version, stored.body = response.Version, body
	return nil
}

// pendingWrites holds the document bodies to write, and the callbacks to run after each write, by document
// key.
type pendingWrites struct {
	bodies    map[string][]byte
	onWritten map[string]func()
}

// sequence returns the keys in the order in which the documents are written. The worker list comes first,
// so that a worker's new weights are published before its placement uncordons it.
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

// run writes the pending documents each time it receives from wake, until ctx is done.
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

// writeAll writes a batch of documents and stops at the first failure. Documents that were not written stay
// pending; the next batch contains them again, possibly with newer bodies.
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
