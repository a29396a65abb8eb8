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
	ps := flaggy.NewParser("loadgen")
	ps.Description = "sends a site's traffic and checks every response"
	ps.ShowHelpOnUnexpected = false
	ps.DisableShowVersionWithVersion()
	ps.ShowCompletion = false
	ps.String(&site, "s", "site", "paramo or daegu")
	ps.Int(&seconds, "t", "seconds", "how long to send")
	ps.Int(&net, "n", "net", "second byte of the site's loopback addresses")
	ps.UInt64(&seed, "e", "seed", "seed")
	fail := func(err error) int {
		fmt.Fprintln(bad, "loadgen: "+errs.Text(err))
		return errs.KindOf(err).ExitCode
	}
	_, err := settings.ParseStrict(ps, args)
	if err == nil {
		err = errs.WrapAs(ps.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return fail(err)
	}
	s, err := LayOut(site, "", net, nil)
	if err != nil {
		return fail(err)
	}
	ctx, end := context.WithTimeout(context.Background(), time.Duration(seconds)*2*time.Second+time.Minute)
	defer end()
	log := &loadgen.OutcomeLog{}
	run := fmt.Sprintf("f%d-", time.Now().UnixMilli()) // request ids must be unique over several runs of the load generator
	loadgen.SendTraffic(ctx, s.Traffic, loadgen.NewClient(s.Edges), seed, run, int(float64(seconds)*s.Traffic.Rate), log)
	journals, err := loadgen.Journals(ctx, s.Workers)
	if err != nil {
		return fail(errs.Wrap(err, "journals"))
	}
	sum := log.Summarize(journals, true)
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	if err := enc.Encode(sum); err != nil {
		return fail(errs.Wrap(err, "write report"))
	}
	if len(sum.Faults) > 0 || sum.Sealed == 0 {
		return 1
	}
	return 0
}
