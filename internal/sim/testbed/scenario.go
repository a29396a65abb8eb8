package testbed

import (
	"embed"
	"encoding/json"
	"strings"

	"pebbleloom/internal/errs"
)

// Scenario describes a run of a site with faults; scenario files hold it as JSON.
type Scenario struct {
	Name              string   `json:"name"`
	About             string   `json:"about"`
	Site              string   `json:"site"`
	Rate              float64  `json:"rate"`
	StartDelayMs      int      `json:"cold_ms"` // clients start that long after the machines, whether the site is ready or not
	Burst             float64  `json:"burst"`   // further requests a second, until the last step
	Links             bool     `json:"links"`   // every link goes through a relay
	WorkerOptions     []string `json:"cab"`     // options of every worker simulator
	Steps             []Step   `json:"steps"`
	RecoveryMs        int      `json:"heal_ms"`  // time to recover after the last step; 0: the bound of the settings
	AfterRecoveryMs   int      `json:"tail_ms"`  // how long clients go on after that
	MinSealedShare    float64  `json:"least"`    // share of all requests that must be sealed
	AllowedRejections []string `json:"kinds"`    // rejections that may occur; empty: any typed one
	ReadAll           bool     `json:"read_all"` // check that every operator address returns the same configuration at the end
	Retire            bool     `json:"retire"`   // the site has adapters and a second base model to retire the first for
}

// Step is one action of a scenario.
type Step struct {
	At       int    `json:"at_ms"`
	Action   string `json:"do"`  // see scenarioRun.execute
	Targets  string `json:"who"` // names or patterns; "pattern:2" draws two; see leaderTarget
	Argument string `json:"to"`  // the other end of a link, or a value
	// Later steps don't wait for its end, and an unknown outcome isn't a fault of the run.
	Background bool   `json:"aside"`
	Confirm    []Step `json:"confirm"` // of a runbook: what its confirmations ask for; their times don't count
	Entry      string `json:"entry"`   // of a runbook: a calendar entry, in the file that its parameters name as {file}
}

//go:embed scenarios/*.json
var scenarioFiles embed.FS

// Scenarios returns the scenarios of all files, sorted by name. It fails with errs.BadInput for an invalid file.
//
// Example: scenarios, err := testbed.Scenarios()
func Scenarios() ([]Scenario, error) {
	entries, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, errs.Wrap(err, "list scenarios")
	}
	var scenarios []Scenario
	for _, entry := range entries {
		raw, err := scenarioFiles.ReadFile("scenarios/" + entry.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read scenario")
		}
		var scenario Scenario
		decoder := json.NewDecoder(strings.NewReader(string(raw)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&scenario); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "scenario "+entry.Name())
		}
		if scenario.Name+".json" != entry.Name() {
			return nil, errs.New(errs.BadInput, "scenario file %s holds the name %q", entry.Name(), scenario.Name)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}
