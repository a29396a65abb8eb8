package placement

import (
	_ "embed"
	"encoding/json"
)

//go:embed curve.json
var curveJSON []byte

// Default is the curve fitted offline on the worker simulator's data by the test bed's `fit` command.
//
// Example: t := placement.Default().At(4000)
func Default() Curve {
	var c Curve
	if err := json.Unmarshal(curveJSON, &c); err != nil {
		panic("placement: curve.json is broken: " + err.Error())
	}
	return c
}
