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
	// minCompressBytes is the size of a body from which compression is tried: shorter ones hardly shrink.
	minCompressBytes = 512

	// maxDecompressedBytes bounds a decompressed body, and so the memory that a corrupt document takes.
	maxDecompressedBytes = 64 << 20
)

// flateWriters are reused: each has buffers larger than most documents.
var flateWriters = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails for invalid levels only
	return writer
}}

// Compress returns a document with its body deflated, or the document itself if that isn't shorter. Lists of
// workers and routes are repetitive, and every node of a site receives them.
//
// Example: response.Docs = append(response.Docs, fleet.Compress(document))
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

// Decompress returns a document as it was before Compress. A body that is corrupt or too long gives an error of
// kind errs.Internal.
//
// Example: document, err := fleet.Decompress(response.Docs[0])
func Decompress(document *wire.Document) (*wire.Document, error) {
	if !document.GetCompressed() {
		return document, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(document.Body)), maxDecompressedBytes+1))
	if err != nil || len(body) > maxDecompressedBytes {
		return nil, errs.New(errs.Internal, "document %s can't be decompressed", document.Key)
	}
	return &wire.Document{Key: document.Key, Body: body, Version: document.Version}, nil
}
