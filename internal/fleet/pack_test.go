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
	r := rand.New(rand.NewPCG(1, 2))
	var tab WorkerList
	for i := range 140 {
		tab.Workers = append(tab.Workers, Worker{ID: fmt.Sprintf("i-%010x", r.Uint64()>>24), Service: "llm", Zone: fmt.Sprint("zone-", i%4),
			Addr: fmt.Sprintf("10.%d.64.%d:8006", i%4, i), Slots: 24, Weights: map[string]uint64{"model": 1}})
	}
	body, err := json.Marshal(tab)
	if err != nil {
		t.Fatal(err)
	}
	d := &wire.Document{Key: WorkersKey, Body: body, Version: 7}
	p := Compress(d)
	if !p.Compressed || 5*len(p.Body) > len(body) || p.Key != d.Key || p.Version != 7 {
		t.Fatalf("%d bytes of %d", len(p.Body), len(body))
	}
	u, err := Decompress(p)
	if err != nil || u.Compressed || u.Key != d.Key || u.Version != 7 || !bytes.Equal(u.Body, body) {
		t.Fatalf("unpacked: %v", err)
	}
	if Compress(p) != p {
		t.Error("packed twice")
	}
}

func TestIncompressibleDocumentIsUnchanged(t *testing.T) {
	short := &wire.Document{Key: "k", Body: []byte("{}")}
	noise := &wire.Document{Key: "k", Body: make([]byte, 4096)}
	r := rand.New(rand.NewPCG(3, 4))
	for i := range noise.Body {
		noise.Body[i] = byte(r.Uint32())
	}
	for _, d := range []*wire.Document{short, noise} {
		if Compress(d) != d {
			t.Errorf("%d bytes packed", len(d.Body))
		}
		if u, err := Decompress(d); err != nil || u != d {
			t.Error(err)
		}
	}
}

func TestCorruptDocumentIsAnError(t *testing.T) {
	for _, b := range [][]byte{nil, {1}, []byte("no deflated bytes")} {
		if _, err := Decompress(&wire.Document{Key: "k", Body: b, Compressed: true}); err == nil {
			t.Errorf("%q unpacked", b)
		}
	}
}
