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

// Fit starts one worker simulator, measures its prefill time for uncached prompts of many lengths, and fits the
// curve with which the placement estimates prefill time.
//
// Example: curve, err := testbed.Fit(ctx, testbed.Options{Site: "paramo", Dir: dir, Programs: "bin", AddressByte: 10})
func Fit(ctx context.Context, options Options) (placement.Curve, error) {
	site, err := LayOut(options.Site, options.Dir, options.AddressByte, []string{"piece_us=1"})
	if err != nil {
		return placement.Curve{}, err
	}
	fleet := newFleet(site, options.Dir, newLocalEnvironment(options.Dir, options.Programs))
	if err := site.Write(options.Dir); err != nil {
		return placement.Curve{}, err
	}
	if err := fleet.Start("cab-1"); err != nil {
		return placement.Curve{}, err
	}
	defer fleet.Stop()
	backends := contract.NewBackends((&net.Dialer{}).DialContext)
	for i := 0; ; i++ {
		if _, err := backends.State(ctx, site.Workers["cab-1"]); err == nil {
			break
		} else if i > 50 || ctx.Err() != nil {
			return placement.Curve{}, errs.Wrap(err, "wait for worker")
		}
		time.Sleep(100 * time.Millisecond)
	}
	var samples []placement.Sample
	for round := range 3 {
		for tokens := 50; tokens <= 4000; tokens += 200 {
			prompt := strings.Repeat(fmt.Sprintf("%02d%06d", round, tokens), tokens/2)
			id := fmt.Sprintf("fit-%d-%d", round, tokens)
			attempt := backends.Start(ctx, site.Workers["cab-1"], contract.StartRequest{RequestID: id, CacheDomain: "fit", Model: site.Traffic.Model, Weights: 1, Parts: []string{prompt}, Chunks: 1, WaitMs: 5000}, nil)
			if attempt.Err != nil {
				return placement.Curve{}, errs.Wrap(attempt.Err, "measure")
			}
			verifier := contract.NewStreamVerifier(id, "cab-1")
			for lines := bufio.NewScanner(attempt.Body); lines.Scan(); {
				if violation := verifier.Verify(lines.Bytes()); violation != "" {
					return placement.Curve{}, errs.New(errs.Internal, "measure: %s", violation)
				}
			}
			attempt.Body.Close()
			if verifier.Sealed == nil || verifier.Sealed.PrefilledTokens != tokens {
				return placement.Curve{}, errs.New(errs.Internal, "measure: %d tokens requested, final record is %+v", tokens, verifier.Sealed)
			}
			samples = append(samples, placement.Sample{Tokens: tokens, Micros: float64(verifier.Sealed.PrefillUs)})
		}
	}
	return placement.Fit(samples, 2)
}
