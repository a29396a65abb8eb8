package fleet

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

const (
	packLeast = 512      // bytes: a shorter body isn't packed
	packMost  = 64 << 20 // bytes: the limit of an unpacked body
)

// packers are reused: one is as large as many documents.
var packers = sync.Pool{New: func() any { w, _ := flate.NewWriter(io.Discard, flate.BestSpeed); return w }}

// Pack returns a document with its body deflated, if that makes it shorter: lists of workers and
// routes are repetitive, and every node of a site gets them.
//
// Example: response.Docs = append(response.Docs, fleet.Pack(d))
func Pack(d *wire.Document) *wire.Document {
	if len(d.GetBody()) < packLeast || d.Packed {
		return d
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(d.Body); err != nil || w.Close() != nil || b.Len() >= len(d.Body) {
		return d
	}
	return &wire.Document{Key: d.Key, Body: b.Bytes(), Version: d.Version, Packed: true}
}

// Unpack returns a document as it was before it was packed.
//
// Example: d, err := fleet.Unpack(response.Docs[0])
func Unpack(d *wire.Document) (*wire.Document, error) {
	if !d.GetPacked() {
		return d, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Body)), packMost+1))
	if err != nil || len(body) > packMost {
		return nil, errs.New(errs.Inside, "document %s can't be unpacked", d.Key)
	}
	return &wire.Document{Key: d.Key, Body: body, Version: d.Version}, nil
}
