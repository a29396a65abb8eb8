package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
)

// LoadGenerator runs the command line of the load generator, which sends client traffic to a running site, checks the
// responses and prints a summary as JSON. It returns the exit code: 1 if a response violated the contract or none was
// complete.
//
// Example: os.Exit(testbed.LoadGenerator([]string{"--site", "paramo", "--seconds", "10"}, os.Stdout, os.Stderr))
func LoadGenerator(args []string, out, errOut io.Writer) int {
	site, seconds, net, seed := "paramo", 10, 10, uint64(1)
	parser := flaggy.NewParser("loadgen")
	parser.Description = "sends client traffic to a running site and checks every response"
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	parser.String(&site, "s", "site", "name of the site: paramo or daegu")
	parser.Int(&seconds, "t", "seconds", "duration of the traffic in seconds")
	parser.Int(&net, "n", "net", "second byte of the site's loopback addresses")
	parser.UInt64(&seed, "e", "seed", "seed")
	fail := func(err error) int {
		fmt.Fprintln(errOut, "loadgen: "+errs.Text(err))
		return errs.KindOf(err).ExitCode
	}
	_, err := settings.ParseStrict(parser, args)
	if err == nil {
		err = errs.WrapAs(parser.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return fail(err)
	}
	siteLayout, err := NewSite(site, "", net, nil)
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(seconds)*2*time.Second+time.Minute)
	defer cancel()
	log := &loadgen.OutcomeLog{}
	requestPrefix := fmt.Sprintf("f%d-", time.Now().UnixMilli()) // prefix that makes request IDs unique among several runs of the load generator
	loadgen.SendTraffic(ctx, siteLayout.Traffic, loadgen.NewClient(siteLayout.Edges), seed, requestPrefix, int(float64(seconds)*siteLayout.Traffic.Rate), log)
	journals, err := loadgen.Journals(ctx, siteLayout.Workers)
	if err != nil {
		return fail(errs.Wrap(err, "journals"))
	}
	summary := log.Summarize(journals, true)
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(summary); err != nil {
		return fail(errs.Wrap(err, "write the summary as JSON"))
	}
	if len(summary.Faults) > 0 || summary.Sealed == 0 {
		return 1
	}
	return 0
}
