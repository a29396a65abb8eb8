package cab

import "encoding/json"

// A worker that lies is a planted fault: whoever checks a run must see it. "denies" runs a request
// and says that it didn't, "twice" runs it twice, "walls" uses the shared cache for all tenants,
// "deaf" doesn't load newer weights, "dies" breaks off whatever it has begun.
func (c *Cab) lies(run *Run) {
	if c.lie == "twice" && c.file != nil {
		if err := json.NewEncoder(c.file).Encode(run); err != nil {
			c.life.Log.Error("journal", "error", err)
		}
	}
}
