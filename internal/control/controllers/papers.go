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

// retryPart of the leave bound lies between two tries of writing a document.
const retryPart = 1.0 / 40

// paper is one document as it was last seen in force.
type paper struct {
	version uint64
	body    []byte
	known   bool
}

// papers writes the documents of one tenure: under its fence, and onto the version that it
// read, so that a past holder changes nothing.
type papers struct {
	ctl    control
	held   func() (uint64, bool)
	holder string
	b      settings.Bounds
	force  map[string]*paper
}

func newPapers(ctl control, held func() (uint64, bool), holder string, b settings.Bounds) *papers {
	return &papers{ctl: ctl, held: held, holder: holder, b: b, force: map[string]*paper{}}
}

// read takes what is in force of a document, or of all whose keys begin so.
func (p *papers) read(ctx context.Context, key string, prefix bool) ([]*wire.Document, error) {
	ctx, end := context.WithTimeout(ctx, p.b.Leave(0.5))
	defer end()
	t, err := p.ctl.Read(ctx, &wire.ReadRequest{Key: key, Prefix: prefix})
	if err != nil {
		return nil, errs.Wrap(err, "read "+key)
	}
	if !prefix {
		p.force[key] = &paper{known: true}
	}
	for _, d := range t.Documents {
		p.force[d.Key] = &paper{d.Version, d.Body, true}
	}
	return t.Documents, nil
}

// write brings a document to a body; false: the lease isn't held any more.
func (p *papers) write(ctx context.Context, key string, body []byte) (bool, error) {
	f := p.force[key]
	if f == nil || !f.known {
		if _, err := p.read(ctx, key, false); err != nil {
			return true, err
		}
		f = p.force[key]
	}
	if bytes.Equal(f.body, body) {
		return true, nil
	}
	fence, ok := p.held()
	if !ok {
		return false, nil
	}
	ctx, end := context.WithTimeout(ctx, p.b.Leave(0.5))
	defer end()
	put := &wire.Put{Key: key, Body: body, IfVersion: f.version, Lease: Lease, Fence: fence, Holder: p.holder}
	t, err := p.ctl.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err != nil {
		f.known = false // read it again before the next try
		return true, errs.Wrap(err, "write "+key)
	}
	f.version, f.body = t.Version, body
	return true, nil
}

// wanted is what documents are to say, and what to do once they do.
type wanted struct {
	body map[string][]byte
	done map[string]func()
}

// order is the sequence in which documents are written: the table of workers first, so that a
// worker isn't back in service before its weights are told.
func (w wanted) order() []string {
	l := queue.Keys(w.body)
	for i, k := range l {
		if k == fleet.WorkersKey {
			copy(l[1:i+1], l[:i])
			l[0] = k
		}
	}
	return l
}

// keep writes what is wanted whenever wake says that there is something, until ctx ends.
func (p *papers) keep(ctx context.Context, wake <-chan struct{}, take func() wanted, log func(error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for w := take(); len(w.body) > 0 && ctx.Err() == nil; w = take() {
			for _, key := range w.order() {
				ok, err := p.write(ctx, key, w.body[key])
				if err != nil || !ok {
					if err != nil && ctx.Err() == nil {
						log(err)
					}
					clock.Pause(ctx, p.b.Leave(retryPart))
					break // take gives it again, or what is newer
				}
				w.done[key]()
			}
		}
	}
}
