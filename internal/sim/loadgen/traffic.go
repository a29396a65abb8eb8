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

// Source is the stream of requests of a seed: the same seed gives the same prompts.
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
