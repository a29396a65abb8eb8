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
	s, err := LayOut(options.Site, options.Dir, options.AddressByte, []string{"piece_us=1"})
	if err != nil {
		return placement.Curve{}, err
	}
	f := newFleet(s, options.Dir, newLocalEnvironment(options.Dir, options.Programs))
	if err := s.Write(options.Dir); err != nil {
		return placement.Curve{}, err
	}
	if err := f.Start("cab-1"); err != nil {
		return placement.Curve{}, err
	}
	defer f.Stop()
	be := contract.NewBackends((&net.Dialer{}).DialContext)
	for i := 0; ; i++ {
		if _, err := be.State(ctx, s.Workers["cab-1"]); err == nil {
			break
		} else if i > 50 || ctx.Err() != nil {
			return placement.Curve{}, errs.Wrap(err, "wait for worker")
		}
		time.Sleep(100 * time.Millisecond)
	}
	var l []placement.Sample
	for round := range 3 {
		for n := 50; n <= 4000; n += 200 {
			p := strings.Repeat(fmt.Sprintf("%02d%06d", round, n), n/2)
			id := fmt.Sprintf("fit-%d-%d", round, n)
			g := be.Start(ctx, s.Workers["cab-1"], contract.StartRequest{RequestID: id, CacheDomain: "fit", Model: s.Traffic.Model, Weights: 1, Parts: []string{p}, Chunks: 1, WaitMs: 5000}, nil)
			if g.Err != nil {
				return placement.Curve{}, errs.Wrap(g.Err, "measure")
			}
			c := contract.NewStreamVerifier(id, "cab-1")
			for sc := bufio.NewScanner(g.Body); sc.Scan(); {
				if w := c.Verify(sc.Bytes()); w != "" {
					return placement.Curve{}, errs.New(errs.Internal, "measure: %s", w)
				}
			}
			g.Body.Close()
			if c.Sealed == nil || c.Sealed.PrefilledTokens != n {
				return placement.Curve{}, errs.New(errs.Internal, "measure: %d tokens requested, final record is %+v", n, c.Sealed)
			}
			l = append(l, placement.Sample{Tokens: n, Micros: float64(c.Sealed.PrefillUs)})
		}
	}
	return placement.Fit(l, 2)
}
