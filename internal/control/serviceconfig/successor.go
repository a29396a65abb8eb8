package serviceconfig

import (
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// CheckSuccessor checks an encoded service configuration against the one in force: the version of a
// model's weights never decreases, otherwise a request could start on weights that were superseded
// long before. Nothing in force (no bytes) allows any successor.
//
// Example: if err := serviceconfig.CheckSuccessor(inForce.Body, body); err != nil { reject() }
func CheckSuccessor(inForce, next []byte) error {
	if len(inForce) == 0 {
		return nil
	}
	oldConfig, err := Decode(inForce)
	if err != nil {
		return errs.Wrap(err, "service configuration in force")
	}
	newConfig, err := Decode(next)
	if err != nil {
		return err
	}
	var faults errs.Batch
	for _, name := range maputil.SortedKeys(newConfig.Models) {
		oldWeights, newWeights := oldConfig.Models[name].Weights, newConfig.Models[name].Weights
		if newWeights < oldWeights {
			faults.Addf(errs.BadInput, "models.%s.weights: %d are older than %d in force: name a later version", name, newWeights, oldWeights)
		}
	}
	return faults.Err()
}
