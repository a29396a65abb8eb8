package workersim

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// memory is what a worker has room for: base models and the adapters on them. Its first base is
// the worker's model and weights; further ones stand in bases.
type memory struct {
	total    int // MB; 0: without a bound
	bases    map[string]uint64
	adapters map[string]map[string]uint64 // base -> adapter -> build
	takes    map[string]int               // MB, of "base" and "base/adapter"
	busy     map[string]int               // requests that run or wait, by base
	loading  string
	steps    map[string]uint64 // the latest step that was obeyed of each plan
	baseTime time.Duration
	addTime  time.Duration
	asTold   int // MB of a base whose order told none
}

// fill takes what the settings say is in memory at the start: "empty=yes" is nothing, "adapters=a@1,b@2"
// stand on the model.
func (c *Cab) fill() error {
	l := c.life
	c.memory = memory{total: int(num(l, "memory", 0)), bases: map[string]uint64{}, adapters: map[string]map[string]uint64{}, takes: map[string]int{},
		busy: map[string]int{}, steps: map[string]uint64{}, asTold: int(num(l, "model_room", 0)),
		baseTime: time.Duration(num(l, "load_ms", 400)) * time.Millisecond, addTime: time.Duration(num(l, "adapter_ms", 100)) * time.Millisecond}
	if l.Settings.Option("empty", "") == "yes" {
		c.model, c.weights = "", 0
		return nil
	}
	c.takes[c.model] = c.asTold
	for _, x := range strings.Split(l.Settings.Option("adapters", ""), ",") {
		if x == "" {
			continue
		}
		n, b, ok := strings.Cut(x, "@")
		var build uint64
		if _, err := fmt.Sscan(b, &build); !ok || err != nil {
			return errs.New(errs.BadInput, "adapters: %q: give name@build", x)
		}
		c.put(c.model, n, build, int(num(l, "adapter_room", 0)))
	}
	return nil
}

func (c *Cab) put(base, adapter string, build uint64, room int) {
	if c.adapters[base] == nil {
		c.adapters[base] = map[string]uint64{}
	}
	c.adapters[base][adapter], c.takes[base+"/"+adapter] = build, room
}

// weightsOf tells a base's epoch in memory; 0: it isn't there.
func (c *Cab) weightsOf(base string) uint64 {
	if base == c.model && base != "" {
		return c.weights
	}
	return c.bases[base]
}

// lacks says why a start can't run on what is in memory, or "".
func (c *Cab) lacks(s *contract.StartRequest) string {
	w := c.weightsOf(s.Model)
	switch {
	case w == 0:
		return "model"
	case w != s.Weights:
		return "weights"
	case s.Adapter != "" && (c.adapters[s.Model][s.Adapter] != s.Build || s.Build == 0):
		return "adapter"
	case s.Adapter != "" && c.lie == "boasts": // it says it has loaded what it hasn't
		return "adapter"
	}
	return ""
}

// holds tells what is in memory. It stays silent where there is the one model alone.
func (c *Cab) holds() []contract.LoadedModel {
	if c.model == "" || len(c.bases) == 0 && len(c.adapters[c.model]) == 0 && len(c.steps) == 0 {
		return nil
	}
	l := []contract.LoadedModel{}
	for _, b := range append([]string{c.model}, queue.Keys(c.bases)...) {
		x := contract.LoadedModel{Model: b, Weights: c.weightsOf(b), Busy: c.busy[b]}
		for a, n := range c.adapters[b] {
			if x.Adapters == nil {
				x.Adapters = map[string]uint64{}
			}
			x.Adapters[a] = n
		}
		l = append(l, x)
	}
	return l
}

func (c *Cab) free() int {
	if c.total == 0 {
		return 0
	}
	n := c.total
	for _, x := range c.takes {
		n -= x
	}
	return n
}

// stale denies an order for another life, and one thought out before one that was obeyed.
func (c *Cab) stale(o *contract.Order) string {
	switch {
	case o.Kind != "load" && o.Kind != "unload":
		return ""
	case o.Incarnation != "" && o.Incarnation != c.inc:
		return "incarnation"
	case o.Step < c.steps[o.Plan]:
		return "stale"
	}
	c.steps[o.Plan] = o.Step
	return ""
}

// remember obeys an order that loads or unloads, or says why it can't. Loading takes its time and is
// done one at a time; what is in use isn't unloaded.
func (c *Cab) remember(o *contract.Order) string {
	key := o.Model
	if o.Adapter != "" {
		key += "/" + o.Adapter
	}
	have := c.weightsOf(o.Model)
	if o.Adapter != "" && have != 0 {
		have = c.adapters[o.Model][o.Adapter]
	}
	if o.Kind == "unload" && c.loading != "" && (c.loading == key || o.Adapter == "" && strings.HasPrefix(c.loading, o.Model+"/")) {
		delete(c.takes, c.loading) // what was being loaded isn't any more
		c.loading = ""
	}
	switch {
	case o.Kind == "unload" && o.Adapter == "" && have != 0:
		if c.busy[o.Model] > 0 {
			return "busy"
		}
		c.forget(o.Model)
	case o.Kind == "unload" && have != 0:
		if c.busy[o.Model] > 0 {
			return "busy"
		}
		delete(c.adapters[o.Model], o.Adapter)
		delete(c.takes, key)
	case o.Kind == "load" && (o.Adapter == "" && have != o.Weights || o.Adapter != "" && have != o.Build):
		if c.loading != "" || o.Adapter != "" && c.weightsOf(o.Model) == 0 {
			return "busy"
		}
		if c.total > 0 && c.free() < o.WeightMemoryMB-c.takes[key] {
			return "room"
		}
		c.load(*o, key)
	}
	return ""
}

func (c *Cab) forget(base string) {
	for a := range c.adapters[base] {
		delete(c.takes, base+"/"+a)
	}
	delete(c.adapters, base)
	delete(c.takes, base)
	if base != c.model {
		delete(c.bases, base)
		return
	}
	c.model, c.weights = "", 0
	for _, b := range queue.Keys(c.bases) { // the next one takes its place
		c.model, c.weights = b, c.bases[b]
		delete(c.bases, b)
		break
	}
	c.life.Log.Info("weights unloaded", "model", base)
}

func (c *Cab) load(o contract.Order, key string) {
	took := c.baseTime
	if o.Adapter != "" {
		took = c.addTime
	}
	c.loading, c.takes[key] = key, o.WeightMemoryMB
	done := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		mine := c.loading == key
		if mine {
			c.loading = ""
		}
		switch {
		case !mine: // it was taken back meanwhile
			return
		case o.Adapter != "" && c.weightsOf(o.Model) == 0:
			delete(c.takes, key)
			return
		case o.Adapter != "":
			c.put(o.Model, o.Adapter, o.Build, o.WeightMemoryMB)
		case c.model == "" || c.model == o.Model:
			c.model, c.weights = o.Model, o.Weights
		default:
			c.bases[o.Model] = o.Weights
		}
		c.life.Log.Info("weights loaded", "model", o.Model, "weights", o.Weights, "adapter", o.Adapter, "build", o.Build)
	}
	c.life.Go(func() {
		t := time.NewTimer(took)
		defer t.Stop()
		select {
		case <-t.C:
			done()
		case <-c.life.Ctx.Done():
		}
	})
}
