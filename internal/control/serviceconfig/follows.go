package serviceconfig

import (
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Follows checks a setup against the one in force: a model's weights never go back, else a
// request could start on weights that newer ones had replaced long before.
//
// Example: if err := setup.Follows(old.Body, body); err != nil { deny() }
func Follows(old, next []byte) error {
	if len(old) == 0 {
		return nil
	}
	o, err := Read(old)
	if err != nil {
		return errs.Wrap(err, "setup in force")
	}
	n, err := Read(next)
	if err != nil {
		return err
	}
	var b errs.Batch
	for _, k := range queue.Keys(n.Models) {
		if was := o.Models[k].Weights; n.Models[k].Weights < was {
			b.Fault(errs.BadInput, "models.%s.weights: %d are older than %d in force: name a later epoch", k, n.Models[k].Weights, was)
		}
	}
	return b.Look()
}
