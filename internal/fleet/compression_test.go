package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

func TestWorkerListCompressesToAFifth(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var list WorkerList
	for i := range 140 {
		list.Workers = append(list.Workers, Worker{ID: fmt.Sprintf("i-%010x", random.Uint64()>>24), Service: "llm", Zone: fmt.Sprint("zone-", i%4),
			Addr: fmt.Sprintf("10.%d.64.%d:8006", i%4, i), Slots: 24, Weights: map[string]uint64{"model": 1}})
	}
	body, err := json.Marshal(list)
	if err != nil {
		t.Fatalf("encode worker list: %v", err)
	}
	history := &wire.TenantHistory{SharedDomain: "7-1f"}
	document := &wire.Document{Key: WorkersKey, Body: body, Version: 7, TenantHistory: history}
	compressed := Compress(document)
	if !compressed.Compressed || 5*len(compressed.Body) > len(body) || compressed.Key != document.Key || compressed.Version != 7 {
		t.Fatalf("a worker list of %d bytes was compressed to %d bytes, key %q, version %d; want at most a fifth, with key and version unchanged", len(body), len(compressed.Body), compressed.Key, compressed.Version)
	}
	decompressed, err := Decompress(compressed)
	if err != nil || decompressed.Compressed || decompressed.Key != document.Key || decompressed.Version != 7 || !bytes.Equal(decompressed.Body, body) {
		t.Fatalf("the decompressed worker list differs from the original, or decompression failed: error %v", err)
	}
	if compressed.TenantHistory != history || decompressed.TenantHistory != history {
		t.Errorf("tenant histories of the compressed and the decompressed document: got %v and %v, want %v", compressed.TenantHistory, decompressed.TenantHistory, history)
	}
	if Compress(compressed) != compressed {
		t.Error("Compress compressed a document that was compressed already")
	}
}

func TestIncompressibleDocumentIsUnchanged(t *testing.T) {
	short := &wire.Document{Key: "k", Body: []byte("{}")}
	noise := &wire.Document{Key: "k", Body: make([]byte, 4096)}
	random := rand.New(rand.NewPCG(3, 4))
	for i := range noise.Body {
		noise.Body[i] = byte(random.Uint32())
	}
	for _, document := range []*wire.Document{short, noise} {
		if Compress(document) != document {
			t.Errorf("Compress changed an incompressible document of %d bytes", len(document.Body))
		}
		if decompressed, err := Decompress(document); err != nil || decompressed != document {
			t.Errorf("Decompress of an uncompressed document of %d bytes: error %v, want the document itself", len(document.Body), err)
		}
	}
}

func TestCorruptDocumentIsAnError(t *testing.T) {
	for _, body := range [][]byte{nil, {1}, []byte("no deflated bytes")} {
		if _, err := Decompress(&wire.Document{Key: "k", Body: body, Compressed: true}); err == nil {
			t.Errorf("Decompress of the corrupt body %q returned no error, want one", body)
		}
	}
}
