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
		t.Fatal(err)
	}
	document := &wire.Document{Key: WorkersKey, Body: body, Version: 7}
	compressed := Compress(document)
	if !compressed.Compressed || 5*len(compressed.Body) > len(body) || compressed.Key != document.Key || compressed.Version != 7 {
		t.Fatalf("%d bytes of %d", len(compressed.Body), len(body))
	}
	decompressed, err := Decompress(compressed)
	if err != nil || decompressed.Compressed || decompressed.Key != document.Key || decompressed.Version != 7 || !bytes.Equal(decompressed.Body, body) {
		t.Fatalf("decompressed: %v", err)
	}
	if Compress(compressed) != compressed {
		t.Error("compressed twice")
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
			t.Errorf("%d bytes were compressed", len(document.Body))
		}
		if decompressed, err := Decompress(document); err != nil || decompressed != document {
			t.Error(err)
		}
	}
}

func TestCorruptDocumentIsAnError(t *testing.T) {
	for _, body := range [][]byte{nil, {1}, []byte("no deflated bytes")} {
		if _, err := Decompress(&wire.Document{Key: "k", Body: body, Compressed: true}); err == nil {
			t.Errorf("%q was decompressed", body)
		}
	}
}
