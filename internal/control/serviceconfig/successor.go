package serviceconfig

import (
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// CheckSuccessor returns an error if an encoded service configuration may not replace the one in force because it
// decreases the version of a model's weights: requests could then start on weights that were superseded long before.
// If no service configuration is in force (inForce is empty), any may follow, and next is not checked.
//
// Example: if err := serviceconfig.CheckSuccessor(inForce.Body, body); err != nil { reject() }
func CheckSuccessor(inForce, next []byte) error {
	if len(inForce) == 0 {
		return nil
	}
	oldConfig, err := Decode(inForce)
	if err != nil {
		return errs.Wrap(err, "check service configuration in force")
	}
	newConfig, err := Decode(next)
	if err != nil {
		return err
	}
	var faults errs.Batch
	for _, name := range maputil.SortedKeys(newConfig.Models) {
		oldWeights, newWeights := oldConfig.Models[name].Weights, newConfig.Models[name].Weights
		if newWeights < oldWeights {
			faults.Addf(errs.BadInput, "models.%s.weights: version %d is older than version %d in force: name that version or a later one", name, newWeights, oldWeights)
		}
	}
	return faults.Err()
}
