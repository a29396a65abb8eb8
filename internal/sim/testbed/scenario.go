package testbed

import (
	"embed"
	"encoding/json"
	"strings"

	"pebbleloom/internal/errs"
)

// Scenario describes a run of a site under client traffic, with steps that inject faults or change the configuration.
// Scenario files contain it as JSON.
type Scenario struct {
	Name              string   `json:"name"`
	About             string   `json:"about"`
	Site              string   `json:"site"`
	Rate              float64  `json:"rate"`
	StartDelayMs      int      `json:"cold_ms"` // if over 0, time from the start of the first process to that of the clients, whether the site is ready or not
	Burst             float64  `json:"burst"`   // client requests per second, in addition to Rate, until the last step has ended
	Links             bool     `json:"links"`   // connections between machines go through relays, so that steps can cut and slow links
	WorkerOptions     []string `json:"cab"`     // options of every worker simulator
	Steps             []Step   `json:"steps"`
	RecoveryMs        int      `json:"heal_ms"`  // time within which service must recover after the last step; 0: Bounds.RecoveryMs of the settings
	AfterRecoveryMs   int      `json:"tail_ms"`  // how long clients go on sending after the time to recover; 0: defaultAfterRecoveryMs
	MinSealedShare    float64  `json:"least"`    // least share of all requests that must get a complete response
	AllowedRejections []string `json:"kinds"`    // kinds of rejections that may occur; empty: any with a known kind
	ReadAll           bool     `json:"read_all"` // check at the end that every operator address returns the same configuration
	Retire            bool     `json:"retire"`   // the site has adapters, and a second base model that can replace the first one
}

// Step is one action of a scenario.
type Step struct {
	At       int    `json:"at_ms"` // time in milliseconds after the start of the steps
	Action   string `json:"do"`    // name of the action, one of those in scenarioRun.execute and executeOn
	Targets  string `json:"who"`   // names or patterns of processes, separated by spaces; "pattern:2" draws two matches at random; see also leaderTarget
	Argument string `json:"to"`    // argument of the action: for links, the machines at the other end; otherwise a value whose meaning depends on the action
	// The step runs in the background: later steps do not wait for its end, and an error of kind errs.OutcomeUnknown is
	// no violation.
	Background bool   `json:"aside"`
	Confirm    []Step `json:"confirm"` // for the action runbook: actions that the runbook asks the operator for; At is ignored in them
	Entry      string `json:"entry"`   // for the action runbook: calendar entry in JSON, written to the file whose path replaces {file} in the parameters
}

//go:embed scenarios/*.json
var scenarioFiles embed.FS

// Scenarios returns the scenarios of all files, sorted by name. It fails with errs.BadInput for an invalid file.
//
// Example: scenarios, err := testbed.Scenarios()
func Scenarios() ([]Scenario, error) {
	entries, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, errs.Wrap(err, "list the embedded scenario files")
	}
	var scenarios []Scenario
	for _, entry := range entries {
		raw, err := scenarioFiles.ReadFile("scenarios/" + entry.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read scenario file "+entry.Name())
		}
		var scenario Scenario
		decoder := json.NewDecoder(strings.NewReader(string(raw)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&scenario); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "decode scenario file "+entry.Name())
		}
		if scenario.Name+".json" != entry.Name() {
			return nil, errs.New(errs.BadInput, "scenario file %s contains the name %q, want the file's name without .json", entry.Name(), scenario.Name)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}
