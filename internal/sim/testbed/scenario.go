package testbed

import (
	"embed"
	"encoding/json"
	"strings"

	"pebbleloom/internal/errs"
)

// Scenario is a run of a whole site with failures, as a file describes it.
type Scenario struct {
	Name              string   `json:"name"`
	About             string   `json:"about"`
	Site              string   `json:"site"`
	Rate              float64  `json:"rate"`
	ColdStartMs       int      `json:"cold_ms"` // callers come that long after the machines start, whatever is ready
	Burst             float64  `json:"burst"`   // requests a second beside these, until the last step
	Links             bool     `json:"links"`   // relays stand in the path of every link
	WorkerOptions     []string `json:"cab"`     // words of every worker
	Steps             []Step   `json:"steps"`
	RecoveryMs        int      `json:"heal_ms"`  // after the last step all is well again within this; 0: the bound
	AfterRecoveryMs   int      `json:"tail_ms"`  // how long callers go on after that
	MinSealedShare    float64  `json:"least"`    // share of requests that is sealed over the whole run
	AllowedRejections []string `json:"kinds"`    // denials that may occur; empty: any typed one
	ReadAll           bool     `json:"read_all"` // every operator address gives the same setup in the end
	Retire            bool     `json:"retire"`   // the site has adapters, and a second base model to move them to
}

// Step is one thing that happens.
type Step struct {
	At       int    `json:"at_ms"`
	Action   string `json:"do"`  // see Fleet.do
	Targets  string `json:"who"` // names or patterns; "pattern:2" picks two; "@owner" owns the setup's part
	Argument string `json:"to"`  // the other end of a link, or a value
	// The steps after it don't wait for its end; where nobody can say whether it was done, that
	// is no fault of the run's.
	Background bool `json:"aside"`
}

//go:embed scenarios/*.json
var scenarioFiles embed.FS

// Scenarios reads all scenario files, by name.
//
// Example: l, err := testbed.Scenarios()
func Scenarios() ([]Scenario, error) {
	es, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, errs.Wrap(err, "list scenarios")
	}
	var l []Scenario
	for _, e := range es {
		raw, err := scenarioFiles.ReadFile("scenarios/" + e.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read scenario")
		}
		var s Scenario
		d := json.NewDecoder(strings.NewReader(string(raw)))
		d.DisallowUnknownFields()
		if err := d.Decode(&s); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "scenario "+e.Name())
		}
		if s.Name+".json" != e.Name() {
			return nil, errs.New(errs.BadInput, "scenario %s calls itself %q", e.Name(), s.Name)
		}
		l = append(l, s)
	}
	return l, nil
}
