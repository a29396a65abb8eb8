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

// LoadGenerator is the command line of the load generator, which sends clients' traffic to a running site. It returns
// the exit code.
//
// Example: os.Exit(testbed.LoadGenerator([]string{"--site", "paramo", "--seconds", "10"}, os.Stdout, os.Stderr))
func LoadGenerator(args []string, out, bad io.Writer) int {
	site, seconds, net, seed := "paramo", 10, 10, uint64(1)
	parser := flaggy.NewParser("loadgen")
	parser.Description = "sends a site's traffic and checks every response"
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	parser.String(&site, "s", "site", "paramo or daegu")
	parser.Int(&seconds, "t", "seconds", "how long to send")
	parser.Int(&net, "n", "net", "second byte of the site's loopback addresses")
	parser.UInt64(&seed, "e", "seed", "seed")
	fail := func(err error) int {
		fmt.Fprintln(bad, "loadgen: "+errs.Text(err))
		return errs.KindOf(err).ExitCode
	}
	_, err := settings.ParseStrict(parser, args)
	if err == nil {
		err = errs.WrapAs(parser.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return fail(err)
	}
	laidOut, err := NewSite(site, "", net, nil)
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(seconds)*2*time.Second+time.Minute)
	defer cancel()
	log := &loadgen.OutcomeLog{}
	run := fmt.Sprintf("f%d-", time.Now().UnixMilli()) // request ids must be unique over several runs of the load generator
	loadgen.SendTraffic(ctx, laidOut.Traffic, loadgen.NewClient(laidOut.Edges), seed, run, int(float64(seconds)*laidOut.Traffic.Rate), log)
	journals, err := loadgen.Journals(ctx, laidOut.Workers)
	if err != nil {
		return fail(errs.Wrap(err, "journals"))
	}
	summary := log.Summarize(journals, true)
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(summary); err != nil {
		return fail(errs.Wrap(err, "write report"))
	}
	if len(summary.Faults) > 0 || summary.Sealed == 0 {
		return 1
	}
	return 0
}
