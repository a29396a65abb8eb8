package testbed

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
)

// fittedWorker is the name of the worker simulator whose prefill time Fit measures.
const fittedWorker = workerPrefix + "1"

// Range of the prompt lengths that Fit sends. In each of fitRepeats rounds it sends one prompt of each length.
const (
	fitRepeats    = 3
	minFitTokens  = 50
	maxFitTokens  = 4000
	fitStepTokens = 200
)

// Fit starts one worker simulator, measures its prefill time for uncached prompts of many lengths, and fits the curve
// from which the placement controller estimates prefill times.
//
// Example: curve, err := testbed.Fit(ctx, testbed.Options{Site: "paramo", Dir: dir, Programs: "bin", AddressByte: 10})
func Fit(ctx context.Context, options Options) (placement.Curve, error) {
	site, err := NewSite(options.Site, options.Dir, options.AddressByte, []string{"piece_us=1"})
	if err != nil {
		return placement.Curve{}, err
	}
	fleet := newFleet(site, options.Dir, newLocalEnvironment(options.Dir, options.Programs))
	if err := site.Write(options.Dir); err != nil {
		return placement.Curve{}, err
	}
	if err := fleet.Start(fittedWorker); err != nil {
		return placement.Curve{}, err
	}
	defer fleet.Stop()
	backends := contract.NewBackends((&net.Dialer{}).DialContext)
	for i := 0; ; i++ {
		if _, err := backends.State(ctx, site.Workers[fittedWorker]); err == nil {
			break
		} else if i > 50 || ctx.Err() != nil {
			return placement.Curve{}, errs.Wrap(err, "wait for an answer of worker simulator "+fittedWorker)
		}
		time.Sleep(100 * time.Millisecond)
	}
	var samples []placement.Sample
	for repeat := range fitRepeats {
		for tokens := minFitTokens; tokens <= maxFitTokens; tokens += fitStepTokens {
			sample, err := measurePrefill(ctx, backends, site, repeat, tokens)
			if err != nil {
				return placement.Curve{}, err
			}
			samples = append(samples, sample)
		}
	}
	return placement.Fit(samples, 2)
}

// measurePrefill sends the worker a prompt that isn't in its cache and returns the prefill time from the final record of
// the response.
func measurePrefill(ctx context.Context, backends *contract.Backends, site *Site, repeat, tokens int) (sample placement.Sample, err error) {
	prompt := strings.Repeat(fmt.Sprintf("%02d%06d", repeat, tokens), tokens/2)
	id := fmt.Sprintf("fit-%d-%d", repeat, tokens)
	attempt := backends.Start(ctx, site.Workers[fittedWorker], contract.StartRequest{RequestID: id, CacheDomain: "fit", Model: site.Traffic.Model, Weights: 1, Parts: []string{prompt}, Chunks: 1, WaitMs: 5000}, nil)
	if attempt.Err != nil {
		return sample, errs.Wrap(attempt.Err, "measure")
	}
	defer attempt.Body.Close()
	verifier := contract.NewStreamVerifier(id, fittedWorker)
	for lines := bufio.NewScanner(attempt.Body); lines.Scan(); {
		if violation := verifier.Verify(lines.Bytes()); violation != "" {
			return sample, errs.New(errs.Internal, "measure prefill time: invalid response stream of request %s: %s", id, violation)
		}
	}
	if verifier.Sealed == nil || verifier.Sealed.PrefilledTokens != tokens {
		return sample, errs.New(errs.Internal, "measure prefill time: want a final record with %d prefilled tokens, got %+v", tokens, verifier.Sealed)
	}
	return placement.Sample{Tokens: tokens, Micros: float64(verifier.Sealed.PrefillUs)}, nil
}
