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
	minCompressBytes     = 512      // bytes: a shorter body isn't packed
	maxDecompressedBytes = 64 << 20 // bytes: the limit of an unpacked body
)

// flateWriters are reused: one is as large as many documents.
var flateWriters = sync.Pool{New: func() any { w, _ := flate.NewWriter(io.Discard, flate.BestSpeed); return w }}

// Compress returns a document with its body deflated, if that makes it shorter: lists of workers and
// routes are repetitive, and every node of a site gets them.
//
// Example: response.Docs = append(response.Docs, fleet.Pack(d))
func Compress(document *wire.Document) *wire.Document {
	if len(document.GetBody()) < minCompressBytes || document.Compressed {
		return document
	}
	var compressed bytes.Buffer
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	writer.Reset(&compressed)
	if _, err := writer.Write(document.Body); err != nil || writer.Close() != nil || compressed.Len() >= len(document.Body) {
		return document
	}
	return &wire.Document{Key: document.Key, Body: compressed.Bytes(), Version: document.Version, Compressed: true}
}

// Decompress returns a document as it was before it was packed.
//
// Example: d, err := fleet.Unpack(response.Docs[0])
func Decompress(document *wire.Document) (*wire.Document, error) {
	if !document.GetCompressed() {
		return document, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(document.Body)), maxDecompressedBytes+1))
	if err != nil || len(body) > maxDecompressedBytes {
		return nil, errs.New(errs.Internal, "document %s can't be unpacked", document.Key)
	}
	return &wire.Document{Key: document.Key, Body: body, Version: document.Version}, nil
}
