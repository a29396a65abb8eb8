package serviceconfig

import (
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// CheckSuccessor checks a service configuration against the one in force: a model's weights never go
// back, else a request could start on weights that were superseded long before.
//
// Example: if err := serviceconfig.CheckSuccessor(old.Body, body); err != nil { reject() }
func CheckSuccessor(old, next []byte) error {
	if len(old) == 0 {
		return nil
	}
	o, err := Decode(old)
	if err != nil {
		return errs.Wrap(err, "service configuration in force")
	}
	n, err := Decode(next)
	if err != nil {
		return err
	}
	var b errs.Batch
	for _, k := range queue.Keys(n.Models) {
		if was := o.Models[k].Weights; n.Models[k].Weights < was {
			b.Addf(errs.BadInput, "models.%s.weights: %d are older than %d in force: name a later version", k, n.Models[k].Weights, was)
		}
	}
	return b.Err()
}
