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
	// minCompressBytes is the size of the smallest document body that is compressed; compression hardly reduces the size
	// of shorter ones.
	minCompressBytes = 512

	// maxDecompressedBytes limits the size of a decompressed document body, so that a corrupt document can't use up the
	// memory.
	maxDecompressedBytes = 64 << 20
)

// flateWriters is a pool of writers for reuse, because the buffers of each are larger than most documents.
var flateWriters = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // NewWriter fails only if the compression level is invalid
	return writer
}}

// Compress returns a copy of a document with a deflated body, or the document itself if that would not be shorter.
// Compression pays because lists of workers and routes are repetitive and sent to every node of a site.
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
	return &wire.Document{Key: document.Key, Body: compressed.Bytes(), Version: document.Version, Compressed: true, TenantHistory: document.TenantHistory}
}

// Decompress returns a document as it was before Compress. If the compressed body is corrupt, or the decompressed one
// too long, the error is of kind errs.Internal.
//
// Example: document, err := fleet.Decompress(response.Docs[0])
func Decompress(document *wire.Document) (*wire.Document, error) {
	if !document.GetCompressed() {
		return document, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(document.Body)), maxDecompressedBytes+1))
	if err != nil || len(body) > maxDecompressedBytes {
		return nil, errs.New(errs.Internal, "decompress document %s of %d bytes: corrupt data, or more than %d bytes decompressed", document.Key, len(document.Body), maxDecompressedBytes)
	}
	return &wire.Document{Key: document.Key, Body: body, Version: document.Version, TenantHistory: document.TenantHistory}, nil
}
