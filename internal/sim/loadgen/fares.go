package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/workersim"
)

// Tenant is a caller's tenant.
type Tenant struct {
	Name   string
	Key    string
	Walled bool
	Weight float64
}

// Kind is one of a site's kinds of request.
type Kind struct {
	Name     string
	Share    float64
	Openings int     // how many different openings
	Tokens   int     // of an opening
	Skew     float64 // Zipf exponent of the openings' use
	Session  int     // tokens of a caller's own middle part; 0: none
	Sessions int     // how many of these there are
	Tail     int     // tokens of the question
	Pieces   int
	Model    string   // what they name; empty: the traffic's
	Under    []string // what may answer them, base/adapter@build; none: the model named
}

// Traffic is what a site's callers send.
type Traffic struct {
	Site    string
	Model   string
	App     string // model of the application service
	Tenants []Tenant
	Kinds   []Kind
	Rate    float64 // requests a second
	WaitMs  int
	Once    float64 // share of once-only requests
	Twins   float64 // share of once-only requests that are sent to two edges
	AppPart float64 // share of requests to the application service
}

type source struct {
	t    Traffic
	r    *rand.Rand
	cdf  [][]float64
	n    int
	seed uint64
	run  string
}

// NewSource makes the stream of requests of a seed: the same seed gives the same prompts.
//
// Example: s := loadgen.NewSource(traffic, 7, "a")
func NewSource(t Traffic, seed uint64, run string) *source {
	s := &source{t: t, r: rand.New(rand.NewPCG(seed, 99)), seed: seed, run: run}
	for _, k := range t.Kinds {
		c, sum := make([]float64, k.Openings), 0.0
		for i := range c {
			sum += 1 / math.Pow(float64(i+1), k.Skew)
			c[i] = sum
		}
		for i := range c {
			c[i] /= sum
		}
		s.cdf = append(s.cdf, c)
	}
	return s
}

func text(name string, tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*4 {
		fmt.Fprintf(&b, "%s ", name)
	}
	return b.String()[:tokens*4]
}

// Next gives the next request.
//
// Example: q := s.Next()
func (s *source) Next() Request {
	s.n++
	q := Request{ID: fmt.Sprintf("%s-%d-%s%d", s.t.Site, s.seed, s.run, s.n), Model: s.t.Model, WaitMs: s.t.WaitMs, Once: s.r.Float64() < s.t.Once}
	x, w := s.r.Float64(), 0.0
	for _, t := range s.t.Tenants {
		w += t.Weight
	}
	x *= w
	for _, t := range s.t.Tenants {
		q.Tenant, q.Key, q.Domain = t.Name, t.Key, "shared"
		if t.Walled {
			q.Domain = "t:" + t.Name
		}
		if x -= t.Weight; x < 0 {
			break
		}
	}
	if s.r.Float64() < s.t.AppPart {
		q.Kind, q.Model, q.App, q.Pieces, q.Parts = "app", s.t.App, true, 2, []string{fmt.Sprintf("booking %d", s.n)}
		return q
	}
	x = s.r.Float64()
	for i, k := range s.t.Kinds {
		if x -= k.Share; x < 0 || i == len(s.t.Kinds)-1 {
			y, o := s.r.Float64(), 0
			for s.cdf[i][o] < y {
				o++
			}
			q.Kind, q.Pieces, q.Under = k.Name, k.Pieces, k.Under
			if k.Model != "" {
				q.Model = k.Model
			}
			q.Parts = []string{text(fmt.Sprintf("%s-opening-%d", k.Name, o), k.Tokens)}
			if k.Session > 0 {
				q.Parts = append(q.Parts, text(fmt.Sprintf("%s-session-%d", k.Name, s.r.IntN(k.Sessions)), k.Session))
			}
			q.Parts = append(q.Parts, text(fmt.Sprintf("%s-question-%s-%d-%d", k.Name, s.run, s.seed, s.n), k.Tail))
			break
		}
	}
	return q
}

// Caller sends requests to the edge.
type Caller struct {
	Edges []string
	h     *http.Client
}

// NewCaller makes a caller of some edge addresses.
//
// Example: c := loadgen.NewCaller([]string{"127.10.1.1:8080"})
func NewCaller(edges []string) *Caller {
	return NewCallerIn((&net.Dialer{Timeout: time.Second}).DialContext, edges)
}

// NewCallerIn makes a caller that connects as it is told to.
//
// Example: c := loadgen.NewCallerIn(world.Dial, []string{"127.10.1.1:8080"})
func NewCallerIn(dial func(ctx context.Context, network, addr string) (net.Conn, error), edges []string) *Caller {
	return &Caller{edges, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: dial}}}
}

// Close lets go of idle connections.
//
// Example: defer c.Close()
func (c *Caller) Close() { c.h.CloseIdleConnections() }

const refused = "refused" // no connection was made

// Ask sends one request to an edge and checks the answer.
//
// Example: out := c.Ask(ctx, 0, q)
func (c *Caller) Ask(ctx context.Context, edge int, q Request) Outcome {
	t0 := time.Now()
	ctx, end := context.WithTimeout(ctx, time.Duration(q.WaitMs)*time.Millisecond+2*time.Second)
	defer end()
	o := c.ask(ctx, c.Edges[edge%len(c.Edges)], q)
	for i := 1; i < len(c.Edges) && o.Denied == refused; i++ {
		o = c.ask(ctx, c.Edges[(edge+i)%len(c.Edges)], q) // nothing was sent: another edge may be asked
	}
	o.SentMs, o.TookMs = t0.UnixMilli(), time.Since(t0).Milliseconds()
	if !o.First.IsZero() {
		o.FirstMs = o.First.Sub(t0).Milliseconds()
	}
	return o
}

func (c *Caller) ask(ctx context.Context, edge string, q Request) Outcome {
	o := Outcome{Request: q}
	raw, err := json.Marshal(map[string]any{"request_id": q.ID, "model": q.Model, "parts": q.Parts, "wait_ms": q.WaitMs, "once": q.Once, "pieces": q.Pieces})
	if err != nil {
		o.Faults = append(o.Faults, "request can't be written: "+err.Error())
		return o
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/v1/answers", bytes.NewReader(raw))
	if err != nil {
		o.Denied = "unreachable"
		return o
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Tenant-Key", q.Key)
	a, err := c.h.Do(r)
	if err != nil {
		o.Denied = "unreachable"
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.Denied = refused
		}
		if errors.Is(err, context.DeadlineExceeded) {
			o.Denied = "held-past-wait"
		}
		return o
	}
	defer a.Body.Close()
	if a.StatusCode != 200 {
		var d struct {
			Kind         string `json:"kind"`
			Message      string `json:"message"`
			RetryAfterMs int    `json:"retry_after_ms"`
		}
		raw, err := io.ReadAll(io.LimitReader(a.Body, 1<<16))
		if err == nil {
			err = json.Unmarshal(raw, &d)
		}
		if err != nil || d.Kind == "" {
			d.Kind = fmt.Sprintf("untyped-%d", a.StatusCode)
			o.Faults = append(o.Faults, "a denial without a kind")
		}
		o.Denied, o.BackMs, o.Message = d.Kind, d.RetryAfterMs, d.Message
		return o
	}
	return Read(q, a.Header.Get("X-Worker"), a.Body)
}

// Drive sends traffic at its rate until the context ends or n requests were sent, spread
// over all edges.
//
// Example: loadgen.Drive(ctx, traffic, caller, 7, "a", 1000, book)
func Drive(ctx context.Context, t Traffic, c *Caller, seed uint64, run string, n int, book *Book) {
	s := NewSource(t, seed, run)
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / t.Rate))
	defer tick.Stop()
	for i := 0; i < n && ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-tick.C:
			q := s.Next()
			wg.Go(func() { book.Add(c.Ask(context.WithoutCancel(ctx), i, q)) })
			if q.Once && s.r.Float64() < t.Twins { // an impatient caller: the same id at another edge at once
				t := q
				t.Twin = true
				wg.Go(func() { book.Add(c.Ask(context.WithoutCancel(ctx), i+1+i%3, t)) })
			}
		}
	}
	wg.Wait()
}

// ReadJournal reads the journal that a worker has kept on disk; a line cut off by a kill
// is its last.
//
// Example: runs, err := loadgen.ReadJournal(file)
func ReadJournal(f io.Reader) ([]workersim.Run, error) {
	var l []workersim.Run
	for d := json.NewDecoder(f); ; {
		var r workersim.Run
		if err := d.Decode(&r); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return l, nil
		} else if err != nil {
			return l, errs.Wrap(err, "read journal")
		}
		l = append(l, r)
	}
}

// Journals asks workers what they ran.
//
// Example: js, err := loadgen.Journals(ctx, map[string]string{"cab-1": "127.10.1.21:9000"})
func Journals(ctx context.Context, addrs map[string]string) (map[string][]workersim.Run, error) {
	m := map[string][]workersim.Run{}
	var b errs.Batch
	for n, a := range addrs {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/v1/runs", nil)
		if err != nil {
			return nil, errs.Wrap(err, "ask for journal")
		}
		x, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Add("journal of "+n, err)
			continue
		}
		var l []workersim.Run
		b.Add("journal of "+n, json.NewDecoder(x.Body).Decode(&l))
		x.Body.Close()
		m[n] = l
	}
	return m, b.Err()
}
