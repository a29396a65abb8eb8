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
	packLeast = 512      // bytes: what is shorter goes as it is
	packMost  = 64 << 20 // bytes that a packed document may have once it is unpacked
)

// packers are kept: one is as large as many documents.
var packers = sync.Pool{New: func() any { w, _ := flate.NewWriter(io.Discard, flate.BestSpeed); return w }}

// Pack gives a document with its body deflated, where that makes it shorter: lists of workers and
// of routes say much the same again and again, and every node of a site is told them.
//
// Example: tell.Docs = append(tell.Docs, fleet.Pack(d))
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

// Unpack gives a document as it was before it was packed.
//
// Example: d, err := fleet.Unpack(tell.Docs[0])
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
