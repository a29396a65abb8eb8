package loadgen

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Tenant is a tenant of a site whose requests are simulated.
type Tenant struct {
	Name     string
	Key      string
	Isolated bool    // the tenant has its own prefix cache domain
	Weight   float64 // share of the client traffic, relative to the other tenants' weights
}

// Kind describes a kind of request that the clients of a site send.
type Kind struct {
	Name           string
	Share          float64 // share of the requests that aren't for the application service
	Prefixes       int     // number of distinct prompt prefixes
	PrefixTokens   int     // length of each prompt prefix in tokens
	Skew           float64 // exponent of the Zipf distribution of prefixes
	SessionTokens  int     // length in tokens of the session part that follows the prefix; 0: none
	Sessions       int     // number of distinct sessions
	QuestionTokens int     // length in tokens of the question that ends the prompt
	Chunks         int
	Model          string   // model that the requests name; empty: Traffic.Model
	ServedBy       []string // names of the models that may serve the requests (base or base/adapter@build); none: only the model that they name
}

// Traffic describes the requests that the clients of a site send.
type Traffic struct {
	Site           string
	Model          string
	App            string // model name of requests to the application service
	Tenants        []Tenant
	Kinds          []Kind
	Rate           float64 // client requests per second
	WaitMs         int
	OnceShare      float64 // share of requests that may be executed at most once
	DuplicateShare float64 // share of at-most-once requests that are sent to two edge nodes
	AppShare       float64 // share of requests for the application service
}

// Source generates random requests. Two sources with the same traffic and seed give the same prompts, except for
// the question at the end of each prompt, whose text differs between runs with different names (see NewSource).
type Source struct {
	traffic   Traffic
	random    *rand.Rand
	prefixCDF [][]float64
	sent      int
	seed      uint64
	run       string
}

// NewSource returns a source of random requests. run is the name of the run of the
// load generator: it is part of the request IDs, which must be unique within a site.
//
// Example: source := loadgen.NewSource(traffic, 7, "a")
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

// repeatedText returns a text that repeats name up to the given number of tokens, at four bytes per token.
func repeatedText(name string, tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*4 {
		fmt.Fprintf(&b, "%s ", name)
	}
	return b.String()[:tokens*4]
}

// Next returns the next random request.
//
// Example: request := source.Next()
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
			position, index := s.random.Float64(), 0
			for s.prefixCDF[i][index] < position {
				index++
			}
			request.Kind, request.Chunks, request.ServedBy = kind.Name, kind.Chunks, kind.ServedBy
			if kind.Model != "" {
				request.Model = kind.Model
			}
			request.Parts = []string{repeatedText(fmt.Sprintf("%s-opening-%d", kind.Name, index), kind.PrefixTokens)}
			if kind.SessionTokens > 0 {
				request.Parts = append(request.Parts, repeatedText(fmt.Sprintf("%s-session-%d", kind.Name, s.random.IntN(kind.Sessions)), kind.SessionTokens))
			}
			request.Parts = append(request.Parts, repeatedText(fmt.Sprintf("%s-question-%s-%d-%d", kind.Name, s.run, s.seed, s.sent), kind.QuestionTokens))
			break
		}
	}
	return request
}

// SendTraffic sends requests at the rate of traffic, to the edge nodes in turn, until ctx is done or n requests were
// sent. It adds the outcomes to log and returns once all requests have ended.
//
// Example: loadgen.SendTraffic(ctx, traffic, client, 7, "a", 1000, log)
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
			if request.Once && source.random.Float64() < traffic.DuplicateShare { // simulates a client that doesn't wait for the response and sends the request to another edge node as well
				duplicate := request
				duplicate.Duplicate = true
				wg.Go(func() { log.Add(client.Send(context.WithoutCancel(ctx), i+1+i%3, duplicate)) })
			}
		}
	}
	wg.Wait()
}
