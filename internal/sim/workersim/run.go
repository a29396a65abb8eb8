package workersim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// run carries a go on a slot: what others hold is fetched, and once the prefill's turn has
// come the request starts, if it still may before the wait is over. Then what is missing is
// prefilled, the pieces are streamed, the seal closes them. False: its wait was over.
func (c *Cab) run(wait context.Context, w http.ResponseWriter, r *http.Request, s *contract.StartRequest, deny func(int, string)) bool {
	if c.lie == "walls" {
		s.CacheDomain = "shared"
	}
	es := prefix.Chain(s.CacheDomain, prefix.QualifiedModel(s.Model, s.Adapter, s.Build), s.Weights, s.Parts)
	last := contract.Chunk{RequestID: s.RequestID, Worker: c.life.Settings.Name, Weights: s.Weights, Model: s.Model, Adapter: s.Adapter, Build: s.Build}
	hints := contract.ParseFetchFrom(r.Header.Get(contract.FetchFrom))
	i, t0 := 0, time.Now()
	for ; i < len(es); i++ {
		if n, ok := c.kv.Has(es[i].Key.String()); ok {
			last.CachedTokens += n
		} else if a := hints[i]; a != "" && c.fetch(r, a, es[i].Key.String()) {
			last.FetchedTokens += es[i].Tokens
			last.FetchAddr = a
			last.FetchUs += time.Since(t0).Microseconds()
		} else {
			break
		}
		t0 = time.Now()
	}
	for _, e := range es[i:] {
		last.PrefilledTokens += e.Tokens
	}
	if last.PrefilledTokens > 0 && !c.hold(wait, c.prefill) {
		return false
	}
	run, why := c.begin(s)
	if last.PrefilledTokens > 0 {
		t0 = time.Now()
		if run != nil {
			c.sleep(r, c.sp.Prefill(last.PrefilledTokens))
		}
		last.PrefillUs = time.Since(t0).Microseconds()
		<-c.prefill
	}
	if run == nil {
		deny(409, why)
		return true
	}
	switch c.lie {
	case "denies":
		deny(409, "full")
		return true
	case "dies":
		panic(http.ErrAbortHandler)
	}
	c.mu.Lock()
	same := c.lacks(s) == "" // KV made under other weights than the cache's isn't kept
	run.Hit, run.Fetched, run.Prefilled = last.CachedTokens, last.FetchedTokens, last.PrefilledTokens
	if same {
		for _, e := range es {
			c.kv.Keep(e.Key.String(), e.Tokens)
		}
	}
	c.mu.Unlock()
	ended := "broken"
	defer func() { c.mu.Lock(); run.Ended = ended; c.mu.Unlock() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(200)
	seal, key := contract.NewSeal(s.RequestID, c.life.Settings.Name), es[len(es)-1].Key.String()
	enc := json.NewEncoder(w)
	for n := range s.Chunks {
		c.sleep(r, time.Duration(c.sp.PieceUs)*time.Microsecond)
		text := contract.SyntheticText(key, s.Weights, n)
		seal.Add(n, text)
		if r.Context().Err() != nil || enc.Encode(contract.Chunk{RequestID: s.RequestID, Number: n, Text: text}) != nil {
			return true
		}
		http.NewResponseController(w).Flush()
	}
	last.Number, last.Seal = s.Chunks, seal.Close()
	if enc.Encode(last) == nil {
		ended = "sealed"
	}
	if same {
		c.save(r.Header.Get(contract.SaveTo), r.Header.Get(contract.SaveUpTo), es)
	}
	return true
}

func (c *Cab) hold(ctx context.Context, ch chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	default:
	}
	select {
	case ch <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Cab) sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// fetch reads a prefix from a colleague or the store at the link's speed.
func (c *Cab) fetch(r *http.Request, addr, key string) bool {
	q, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+addr+"/kv/"+key, nil)
	if err != nil {
		return false
	}
	a, err := c.h.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	var k contract.CachedPrefix
	if a.StatusCode != 200 || json.NewDecoder(io.LimitReader(a.Body, 4096)).Decode(&k) != nil {
		return false
	}
	rate := c.sp.LinkTok
	if far(addr, c.life.Settings.Public) {
		rate = c.sp.FarTok
	}
	c.sleep(r, time.Duration(float64(k.Tokens)/rate*float64(time.Second)))
	return true
}

// far tells whether two addresses stand in different districts: the third byte says.
func far(a, b string) bool {
	x, y := strings.Split(a, "."), strings.Split(b, ".")
	return len(x) > 2 && len(y) > 2 && x[2] != y[2]
}

func (c *Cab) save(to, upto string, es []prefix.Entry) {
	n, err := strconv.Atoi(upto)
	if err != nil || n > len(es) {
		n = len(es)
	}
	for _, a := range strings.Split(to, ",") {
		if a == "" {
			continue
		}
		c.life.Go(func() {
			for _, e := range es[:n] {
				raw, _ := json.Marshal(contract.CachedPrefix{Key: e.Key.String(), Tokens: e.Tokens}) // plain fields: can't fail
				q, err := http.NewRequestWithContext(c.life.Ctx, http.MethodPut, "http://"+a+"/kv/"+e.Key.String(), strings.NewReader(string(raw)))
				if err != nil {
					return
				}
				r, err := c.h.Do(q)
				if err != nil {
					return // the receiver is gone: a save is only an offer
				}
				r.Body.Close()
			}
		})
	}
}
