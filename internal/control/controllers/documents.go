package controllers

import (
	"bytes"
	"context"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// writeRetryRatio is the pause between two attempts to write a document, as a ratio of the leave bound.
const writeRetryRatio = 1.0 / 40

// storedDocument is a document as it was last read or written.
type storedDocument struct {
	version uint64
	body    []byte
	current bool
}

// documentWriter writes the documents of one session: under its fence, and conditional on the version
// that it read, so that a past holder changes nothing.
type documentWriter struct {
	store        stateStore
	currentToken func() (uint64, bool)
	holder       string
	bounds       settings.Bounds
	stored       map[string]*storedDocument
}

func newDocumentWriter(ctl stateStore, held func() (uint64, bool), holder string, b settings.Bounds) *documentWriter {
	return &documentWriter{store: ctl, currentToken: held, holder: holder, bounds: b, stored: map[string]*storedDocument{}}
}

// read fetches a document, or all documents whose keys have the prefix.
func (p *documentWriter) read(ctx context.Context, key string, prefix bool) ([]*wire.Document, error) {
	ctx, end := context.WithTimeout(ctx, p.bounds.Leave(0.5))
	defer end()
	t, err := p.store.Read(ctx, &wire.ReadRequest{Key: key, Prefix: prefix})
	if err != nil {
		return nil, errs.Wrap(err, "read "+key)
	}
	if !prefix {
		p.stored[key] = &storedDocument{current: true}
	}
	for _, d := range t.Documents {
		p.stored[d.Key] = &storedDocument{d.Version, d.Body, true}
	}
	return t.Documents, nil
}

// write replaces a document's body; false if the lease is no longer held.
func (p *documentWriter) write(ctx context.Context, key string, body []byte) (bool, error) {
	f := p.stored[key]
	if f == nil || !f.current {
		if _, err := p.read(ctx, key, false); err != nil {
			return true, err
		}
		f = p.stored[key]
	}
	if bytes.Equal(f.body, body) {
		return true, nil
	}
	fence, ok := p.currentToken()
	if !ok {
		return false, nil
	}
	ctx, end := context.WithTimeout(ctx, p.bounds.Leave(0.5))
	defer end()
	put := &wire.Put{Key: key, Body: body, IfVersion: f.version, Lease: LeaseName, Fence: fence, Holder: p.holder}
	t, err := p.store.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err != nil {
		f.current = false // read it again before the next attempt
		return true, errs.Wrap(err, "write "+key)
	}
	f.version, f.body = t.Version, body
	return true, nil
}

// pendingWrites holds the bodies to write, and the callback of each once it is written.
type pendingWrites struct {
	bodies    map[string][]byte
	onWritten map[string]func()
}

// sequence is the order in which documents are written: the worker list first, so that a worker isn't
// back in service before its weights are published.
func (w pendingWrites) sequence() []string {
	l := queue.Keys(w.bodies)
	for i, k := range l {
		if k == fleet.WorkersKey {
			copy(l[1:i+1], l[:i])
			l[0] = k
		}
	}
	return l
}

// run writes pending documents on every wake-up until ctx ends.
func (p *documentWriter) run(ctx context.Context, wake <-chan struct{}, take func() pendingWrites, log func(error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for w := take(); len(w.bodies) > 0 && ctx.Err() == nil; w = take() {
			for _, key := range w.sequence() {
				ok, err := p.write(ctx, key, w.bodies[key])
				if err != nil || !ok {
					if err != nil && ctx.Err() == nil {
						log(err)
					}
					clock.Sleep(ctx, p.bounds.Leave(writeRetryRatio))
					break // take returns it again, or a newer body
				}
				w.onWritten[key]()
			}
		}
	}
}
