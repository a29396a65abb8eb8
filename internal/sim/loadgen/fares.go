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
	Name     string
	Key      string
	Isolated bool
	Weight   float64
}

// Kind is one of a site's kinds of request.
type Kind struct {
	Name           string
	Share          float64
	Prefixes       int     // how many different openings
	PrefixTokens   int     // of an opening
	Skew           float64 // Zipf exponent of the openings' use
	SessionTokens  int     // tokens of a caller's own middle part; 0: none
	Sessions       int     // how many of these there are
	QuestionTokens int     // tokens of the question
	Chunks         int
	Model          string   // what they name; empty: the traffic's
	ServedBy       []string // what may answer them, base/adapter@build; none: the model named
}

// Traffic is what a site's callers send.
type Traffic struct {
	Site           string
	Model          string
	App            string // model of the application service
	Tenants        []Tenant
	Kinds          []Kind
	Rate           float64 // requests a second
	WaitMs         int
	OnceShare      float64 // share of once-only requests
	DuplicateShare float64 // share of once-only requests that are sent to two edges
	AppShare       float64 // share of requests to the application service
}

type Source struct {
	traffic   Traffic
	random    *rand.Rand
	prefixCDF [][]float64
	sent      int
	seed      uint64
	run       string
}

// NewSource makes the stream of requests of a seed: the same seed gives the same prompts.
//
// Example: s := loadgen.NewSource(traffic, 7, "a")
func NewSource(traffic Traffic, seed uint64, run string) *Source {
	source := &Source{traffic: traffic, random: rand.New(rand.NewPCG(seed, 99)), seed: seed, run: run}
	for _, kind := range traffic.Kinds {
		cdf, sum := make([]float64, kind.Prefixes), 0.0
		for i := range cdf {
			sum += 1 / math.Pow(float64(i+1), kind.Skew)
			cdf[i] = sum
		}
		for i := range cdf {
			cdf[i] /= sum
		}
		source.prefixCDF = append(source.prefixCDF, cdf)
	}
	return source
}

func repeatedText(name string, tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*4 {
		fmt.Fprintf(&b, "%s ", name)
	}
	return b.String()[:tokens*4]
}

// Next gives the next request.
//
// Example: q := s.Next()
func (s *Source) Next() Request {
	s.sent++
	request := Request{ID: fmt.Sprintf("%s-%d-%s%d", s.traffic.Site, s.seed, s.run, s.sent), Model: s.traffic.Model, WaitMs: s.traffic.WaitMs, Once: s.random.Float64() < s.traffic.OnceShare}
	draw, totalWeight := s.random.Float64(), 0.0
	for _, tenant := range s.traffic.Tenants {
		totalWeight += tenant.Weight
	}
	draw *= totalWeight
	for _, tenant := range s.traffic.Tenants {
		request.Tenant, request.Key, request.Domain = tenant.Name, tenant.Key, "shared"
		if tenant.Isolated {
			request.Domain = "t:" + tenant.Name
		}
		if draw -= tenant.Weight; draw < 0 {
			break
		}
	}
	if s.random.Float64() < s.traffic.AppShare {
		request.Kind, request.Model, request.App, request.Chunks, request.Parts = "app", s.traffic.App, true, 2, []string{fmt.Sprintf("booking %d", s.sent)}
		return request
	}
	draw = s.random.Float64()
	for i, kind := range s.traffic.Kinds {
		if draw -= kind.Share; draw < 0 || i == len(s.traffic.Kinds)-1 {
			position, rank := s.random.Float64(), 0
			for s.prefixCDF[i][rank] < position {
				rank++
			}
			request.Kind, request.Chunks, request.ServedBy = kind.Name, kind.Chunks, kind.ServedBy
			if kind.Model != "" {
				request.Model = kind.Model
			}
			request.Parts = []string{repeatedText(fmt.Sprintf("%s-opening-%d", kind.Name, rank), kind.PrefixTokens)}
			if kind.SessionTokens > 0 {
				request.Parts = append(request.Parts, repeatedText(fmt.Sprintf("%s-session-%d", kind.Name, s.random.IntN(kind.Sessions)), kind.SessionTokens))
			}
			request.Parts = append(request.Parts, repeatedText(fmt.Sprintf("%s-question-%s-%d-%d", kind.Name, s.run, s.seed, s.sent), kind.QuestionTokens))
			break
		}
	}
	return request
}

// Client sends requests to the edge.
type Client struct {
	Edges []string
	http  *http.Client
}

// NewClient makes a caller of some edge addresses.
//
// Example: c := loadgen.NewClient([]string{"127.10.1.1:8080"})
func NewClient(edges []string) *Client {
	return NewClientWithDialer((&net.Dialer{Timeout: time.Second}).DialContext, edges)
}

// NewClientWithDialer makes a caller that connects as it is told to.
//
// Example: c := loadgen.NewClientWithDialer(world.Dial, []string{"127.10.1.1:8080"})
func NewClientWithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error), edges []string) *Client {
	return &Client{edges, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: dial}}}
}

// Close lets go of idle connections.
//
// Example: defer c.Close()
func (c *Client) Close() { c.http.CloseIdleConnections() }

const connectionRefused = "refused" // no connection was made

// Send sends one request to an edge and checks the answer.
//
// Example: out := c.Ask(ctx, 0, q)
func (c *Client) Send(ctx context.Context, edge int, request Request) Outcome {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+2*time.Second)
	defer cancel()
	outcome := c.sendTo(ctx, c.Edges[edge%len(c.Edges)], request)
	for i := 1; i < len(c.Edges) && outcome.Rejected == connectionRefused; i++ {
		outcome = c.sendTo(ctx, c.Edges[(edge+i)%len(c.Edges)], request) // nothing was sent: another edge may be asked
	}
	outcome.SentMs, outcome.TookMs = sentAt.UnixMilli(), time.Since(sentAt).Milliseconds()
	if !outcome.FirstChunkAt.IsZero() {
		outcome.FirstChunkMs = outcome.FirstChunkAt.Sub(sentAt).Milliseconds()
	}
	return outcome
}

func (c *Client) sendTo(ctx context.Context, edge string, request Request) Outcome {
	outcome := Outcome{Request: request}
	raw, err := json.Marshal(map[string]any{"request_id": request.ID, "model": request.Model, "parts": request.Parts, "wait_ms": request.WaitMs, "once": request.Once, "pieces": request.Chunks})
	if err != nil {
		outcome.Faults = append(outcome.Faults, "request can't be written: "+err.Error())
		return outcome
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/v1/answers", bytes.NewReader(raw))
	if err != nil {
		outcome.Rejected = "unreachable"
		return outcome
	}
	post.GetBody = nil
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("X-Tenant-Key", request.Key)
	response, err := c.http.Do(post)
	if err != nil {
		outcome.Rejected = "unreachable"
		if errors.Is(err, syscall.ECONNREFUSED) {
			outcome.Rejected = connectionRefused
		}
		if errors.Is(err, context.DeadlineExceeded) {
			outcome.Rejected = "held-past-wait"
		}
		return outcome
	}
	defer response.Body.Close()
	if response.StatusCode != 200 {
		var rejection struct {
			Kind         string `json:"kind"`
			Message      string `json:"message"`
			RetryAfterMs int    `json:"retry_after_ms"`
		}
		raw, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
		if err == nil {
			err = json.Unmarshal(raw, &rejection)
		}
		if err != nil || rejection.Kind == "" {
			rejection.Kind = fmt.Sprintf("untyped-%d", response.StatusCode)
			outcome.Faults = append(outcome.Faults, "a denial without a kind")
		}
		outcome.Rejected, outcome.RetryAfterMs, outcome.Message = rejection.Kind, rejection.RetryAfterMs, rejection.Message
		return outcome
	}
	return ReadStream(request, response.Header.Get("X-Worker"), response.Body)
}

// SendTraffic sends traffic at its rate until the context ends or n requests were sent, spread
// over all edges.
//
// Example: loadgen.Drive(ctx, traffic, caller, 7, "a", 1000, book)
func SendTraffic(ctx context.Context, traffic Traffic, client *Client, seed uint64, run string, n int, log *OutcomeLog) {
	source := NewSource(traffic, seed, run)
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / traffic.Rate))
	defer tick.Stop()
	for i := 0; i < n && ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-tick.C:
			request := source.Next()
			wg.Go(func() { log.Add(client.Send(context.WithoutCancel(ctx), i, request)) })
			if request.Once && source.random.Float64() < traffic.DuplicateShare { // an impatient caller: the same id at another edge at once
				traffic := request
				traffic.Duplicate = true
				wg.Go(func() { log.Add(client.Send(context.WithoutCancel(ctx), i+1+i%3, traffic)) })
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
	var runs []workersim.Run
	for decoder := json.NewDecoder(f); ; {
		var run workersim.Run
		if err := decoder.Decode(&run); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs, nil
		} else if err != nil {
			return runs, errs.Wrap(err, "read journal")
		}
		runs = append(runs, run)
	}
}

// Journals asks workers what they ran.
//
// Example: js, err := loadgen.Journals(ctx, map[string]string{"cab-1": "127.10.1.21:9000"})
func Journals(ctx context.Context, addrs map[string]string) (map[string][]workersim.Run, error) {
	journals := map[string][]workersim.Run{}
	var batch errs.Batch
	for name, addr := range addrs {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/runs", nil)
		if err != nil {
			return nil, errs.Wrap(err, "ask for journal")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			batch.Add("journal of "+name, err)
			continue
		}
		var runs []workersim.Run
		batch.Add("journal of "+name, json.NewDecoder(response.Body).Decode(&runs))
		response.Body.Close()
		journals[name] = runs
	}
	return journals, batch.Err()
}
