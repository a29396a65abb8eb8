package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/sim/workersim"
)

// next is the second build of a base or an adapter.
func next(name string) string { return name + "-2" }

// adapt gives a site two adapters, which its first two kinds of request name, and a second base
// model with replacements for them. Its workers have room for both sets.
func (s *Site) adapt(yes bool) {
	if !yes {
		return
	}
	lm := s.Traffic.Model
	service := lm + "-main"
	s.Setup.Models[lm] = serviceconfig.Model{Weights: s.Setup.Models[lm].Weights, MemoryMB: 100}
	s.Setup.Models[next(lm)] = serviceconfig.Model{Weights: 1, MemoryMB: 100}
	v := s.Setup.Services[service]
	v.WorkerMemoryMB = 260
	s.Setup.Services[service] = v
	s.Setup.Adapters = map[string]serviceconfig.Adapter{}
	var words []string
	for i := range s.Traffic.Kinds {
		k := &s.Traffic.Kinds[i]
		k.Under = []string{lm, next(lm)}
		if i == 2 {
			break
		}
		k.Model, k.Under = k.Name, []string{fmt.Sprintf("%s/%s@1", lm, k.Name), fmt.Sprintf("%s/%s@1", next(lm), next(k.Name))}
		s.Setup.Adapters[k.Name] = serviceconfig.Adapter{BaseModel: lm, Build: 1, Services: []string{service}, MemoryMB: 10}
		s.Setup.Adapters[next(k.Name)] = serviceconfig.Adapter{BaseModel: next(lm), Build: 1, Services: []string{service}, MemoryMB: 10}
		s.Setup.Routes[k.Name] = serviceconfig.Route{Service: service}
		words = append(words, k.Name+"@1")
	}
	for i := range s.Processes {
		if p := &s.Processes[i]; p.Program == programs.WorkerSim {
			p.Place.Options = append(p.Place.Options, "memory=260", "model_room=100", "adapter_room=10", "adapters="+strings.Join(words, ","))
		}
	}
}

// retirement carries out the steps of a scenario that have to do with retiring the site's base model:
// to plan and start it, to ask something of it, to wait until it has come to a state.
func (p *play) retirement(ctx context.Context, do, who, to string) error {
	lm := p.f.Site.Traffic.Model
	service := lm + "-main"
	switch do {
	case "retire":
		r := &retire.Retirement{}
		if to != "" {
			if err := json.Unmarshal([]byte(to), r); err != nil {
				return errs.WrapAs(err, errs.BadInput, "retirement")
			}
		}
		r.Name, r.Service, r.OldBase, r.NewBase, r.Replacements = who, service, lm, next(lm), map[string]string{}
		for _, k := range p.f.Site.Traffic.Kinds[:2] {
			r.Replacements[k.Name] = next(k.Name)
		}
		_, p.before = p.f.Get(ctx, p.f.Site.Operators[0], "/v1/setup")
		if _, err := p.post(ctx, "/v1/retirements", map[string]any{"retirement": r}); err != nil {
			return err
		}
		_, err := p.post(ctx, "/v1/retirements/"+service+"/"+who+"/start", map[string]any{})
		return err
	case "retire-ask":
		_, err := p.post(ctx, "/v1/retirements/"+service+"/"+who+"/"+to, map[string]any{})
		return err
	}
	for i := 0; ; i++ {
		_, last := p.f.Get(ctx, p.f.Site.Operators[i%len(p.f.Site.Operators)], "/v1/retirements")
		var l struct {
			Retirements []*retire.Retirement `json:"retirements"`
		}
		if json.Unmarshal([]byte(last), &l) == nil {
			for _, r := range l.Retirements {
				if last = fmt.Sprintf("%s, %s, %s, held by %v", r.State, r.Progress(), r.Reason, r.Blockers); r.Name == who && (string(r.State) == to || string(r.Phase) == to) {
					return p.afterwards(ctx, r)
				}
			}
		}
		if i >= 400 {
			return errs.New(errs.Internal, "%s isn't %s: %s", who, to, last)
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// afterwards looks at the fleet once a retirement is over: the old base is gone from every worker that
// answers, or all is as it was before.
func (p *play) afterwards(ctx context.Context, r *retire.Retirement) error {
	if r.Active() {
		return nil
	}
	gone, base, adapters := r.OldBase, r.NewBase, []string{}
	for _, n := range queue.Keys(r.Replacements) {
		adapters = append(adapters, map[retire.State]string{retire.StateDone: r.Replacements[n], retire.StateAborted: n}[r.State])
	}
	if r.State == retire.StateAborted {
		gone, base = r.NewBase, r.OldBase
		if _, now := p.f.Get(ctx, p.f.Site.Operators[0], "/v1/setup"); setupIn(now) != setupIn(p.before) {
			p.fault("after the abort the setup is %s, it was %s", setupIn(now), setupIn(p.before))
		}
	}
	be := contract.NewBackends(p.f.on.Dial)
	defer be.Close()
	for _, n := range queue.Keys(p.f.Site.Cabs) {
		st, err := be.State(ctx, p.f.Site.Cabs[n])
		if err != nil {
			continue // it is down: when it is back it is caught up
		}
		held := false
		for _, l := range st.LoadedModels() {
			if l.Model == gone {
				p.fault("%s still holds %s, the retirement is %s", n, gone, r.State)
			}
			held = held || l.Model == base && len(l.Adapters) >= len(adapters)
			for _, a := range adapters {
				held = held && (l.Model != base || l.Adapters[a] > 0)
			}
		}
		if !held {
			p.fault("%s holds %v, %s with %v are due", n, st.LoadedModels(), base, adapters)
		}
	}
	return nil
}

// setupIn is the setup of an answer without its version.
func setupIn(said string) string {
	var s struct {
		Setup json.RawMessage `json:"setup"`
	}
	if json.Unmarshal([]byte(said), &s) != nil {
		return said
	}
	return string(s.Setup)
}

// retired: the old base leaves no worker before every worker has answered under the new base and
// each adapter on it.
func (p *play) retired(js, orders map[string][]workersim.Run) (faults []string) {
	if !p.sc.Retire {
		return nil
	}
	lm := p.f.Site.Traffic.Model
	first, who := int64(math.MaxInt64), ""
	for _, n := range queue.Keys(orders) {
		for _, o := range orders[n] {
			if o.Kind == "unload" && o.Model == lm && o.AtMs < first {
				first, who = o.AtMs, n
			}
		}
	}
	if who == "" {
		return nil
	}
	for _, n := range queue.Keys(js) {
		for _, a := range []string{"", next(p.f.Site.Traffic.Kinds[0].Name), next(p.f.Site.Traffic.Kinds[1].Name)} {
			ok := false
			for _, r := range js[n] {
				ok = ok || r.Model == next(lm) && r.Adapter == a && r.AtMs <= first
			}
			if !ok {
				faults = append(faults, fmt.Sprintf("%s was told to drop %s before %s had answered under %s %s", who, lm, n, next(lm), a))
			}
		}
	}
	return faults
}
