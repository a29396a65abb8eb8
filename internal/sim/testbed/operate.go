package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// place is where a process stands.
func (f *Fleet) place(name string) settings.Process {
	p, _ := f.process(name) // none: no place
	return p.Place
}

// usurp starts an empty machine under the name that a process has, at another address,
// while the process itself lives on, frozen or not.
func (f *Fleet) usurp(name string) error {
	for _, p := range f.Site.Processes {
		if p.Name != name {
			continue
		}
		p.Name += "-again"
		at := strings.Split(p.Place.Listen, ".")
		at[3] = "98:" + strings.Split(at[3], ":")[1]
		p.Place.Listen = strings.Join(at, ".")
		if p.Place.Operator != "" {
			p.Place.Operator = strings.Join(at[:3], ".") + ".98:8090"
		}
		if p.Place.Data != "" {
			p.Place.Data += "-again"
		}
		if err := f.on.Put(p); err != nil {
			return err
		}
		f.Site.Processes = append(f.Site.Processes, p)
		return f.Start(p.Name)
	}
	return errs.New(errs.NotFound, "process %q", name)
}

// net is the second byte of the site's addresses.
func (f *Fleet) net() string { return strings.Split(f.rank(), ".")[1] }

func (f *Fleet) rank() string { return f.place("rank-1").Public }

// owner names the core machine that owns the setup's part.
func (f *Fleet) owner(ctx context.Context) (string, error) {
	for _, p := range f.Site.Processes {
		if p.Program != programs.ControlNode {
			continue
		}
		one, end := context.WithTimeout(ctx, time.Second)
		t, err := wire.NewControlNodeClient("http://"+p.Place.Listen, f.h).Status(one, &wire.StatusRequest{})
		end()
		for _, x := range t.GetShards() {
			if err == nil && x.Shard == 0 && x.IsLeader {
				return p.Place.Name, nil
			}
		}
	}
	return "", errs.New(errs.OutcomeUnknown, "nobody owns the setup's part")
}

// move gives a process of a core machine a new address; it is started there by a later step.
func (f *Fleet) move(name string) error {
	for i := range f.Site.Processes {
		p := &f.Site.Processes[i]
		if p.Name != name {
			continue
		}
		h, port, err := net.SplitHostPort(p.Place.Listen)
		if err != nil {
			return errs.Wrap(err, "move")
		}
		q := strings.Split(h, ".")
		h = strings.Join(append(q[:3], "99"), ".")
		old := p.Place.Operator
		p.Place.Listen = h + ":" + port
		if old != "" {
			p.Place.Operator = h + ":8090"
			for j, o := range f.Site.Operators {
				if o == old {
					f.Site.Operators[j] = p.Place.Operator
				}
			}
		}
		return f.on.Put(*p)
	}
	return errs.New(errs.NotFound, "process %q", name)
}

func (p *play) chance(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.r.IntN(n)
}

// operator is a living operator address, another one at each try.
func (p *play) post(ctx context.Context, path string, v any) (int64, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0, errs.Wrap(err, "write")
	}
	last := ""
	for i := range 40 {
		one, end := context.WithTimeout(ctx, 8*time.Second)
		code, said := p.f.Post(one, p.f.Site.Operators[(i+p.chance(3))%len(p.f.Site.Operators)], path, raw)
		end()
		var c struct {
			Epoch int64  `json:"epoch"`
			Kind  string `json:"kind"`
		}
		if json.Unmarshal([]byte(said), &c) == nil && code == 200 {
			p.mu.Lock()
			p.acked = max(p.acked, c.Epoch)
			p.mu.Unlock()
			return c.Epoch, nil
		}
		if last = fmt.Sprintf("%d %s", code, said); code == 400 || code == 404 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errs.New(errs.OutcomeUnknown, "%s: %s", path, last)
}

// operate does what operators do, and notes when it was acknowledged.
func (p *play) operate(ctx context.Context, x Step) error {
	now := func() int64 { return time.Now().UnixMilli() }
	switch x.Do {
	case "weights":
		var n uint64
		if _, err := fmt.Sscan(x.To, &n); err != nil {
			return errs.New(errs.BadInput, "weights %q", x.To)
		}
		_, err := p.post(ctx, "/v1/weights", map[string]any{"model": p.f.Site.Traffic.Model, "weights": n, "token": "weights-" + x.To})
		p.mu.Lock()
		p.weights[n] = now()
		p.mu.Unlock()
		return err
	case "revoke":
		t := p.f.Site.Setup.Tenants[x.Who]
		if len(t.Keys) == 0 {
			return errs.New(errs.BadInput, "revoke: tenant %q", x.Who)
		}
		_, err := p.post(ctx, "/v1/keys/revoke", map[string]any{"tenant": x.Who, "key": t.Keys[0]})
		p.mu.Lock()
		p.revoked[t.Keys[0]] = now()
		p.mu.Unlock()
		return err
	case "drain", "undrain":
		l, err := p.who(ctx, x.Who)
		if err != nil {
			return err
		}
		for _, n := range l {
			if _, err := p.post(ctx, "/v1/drain", map[string]any{"worker": n, "drain": x.Do == "drain"}); err != nil {
				return err
			}
			p.mu.Lock()
			if p.drained[n] = now(); x.Do == "undrain" {
				delete(p.drained, n)
			}
			p.mu.Unlock()
		}
		return nil
	case "seeds":
		seeds := strings.Fields(strings.ReplaceAll(x.To, "{net}", p.f.net()))
		return p.mustChange(ctx, configurationChange{token: "seeds", patch: map[string]any{"seeds": seeds}})
	case "grow":
		var n int
		if _, err := fmt.Sscan(x.To, &n); err != nil {
			return errs.New(errs.BadInput, "grow %q", x.To)
		}
		ms, ss, ws := map[string]any{}, map[string]any{}, map[string]any{}
		for i := range n {
			m := fmt.Sprintf("model-%d", i)
			ms[m], ss["service-"+m], ws[m] = map[string]any{"weights": 1}, map[string]any{"model": m}, map[string]any{"service": "service-" + m}
		}
		return p.mustChange(ctx, configurationChange{token: "grow", patch: map[string]any{"models": ms, "services": ss, "ways": ws}})
	}
	return p.storm(ctx, x)
}

// storm and race: many operators at once. A race is compare-and-set on one version: of all
// that ask for a version exactly one may get it.
func (p *play) storm(ctx context.Context, x Step) error {
	var n int
	if _, err := fmt.Sscan(x.To, &n); err != nil {
		return errs.New(errs.BadInput, "%s %q", x.Do, x.To)
	}
	var base *uint64
	if x.Do == "race" {
		version, err := p.readSomewhere(ctx)
		if err != nil {
			return err
		}
		base = &version
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[uint64]int{}
	for i := range n {
		wg.Go(func() {
			tenant := map[string]any{fmt.Sprintf("%s-%d", x.Do, i): map[string]any{"rate": i + 1}}
			c := configurationChange{token: fmt.Sprintf("%s-%d-%d", x.Do, x.At, i), base: base, patch: map[string]any{"tenants": tenant}}
			if version, ok := p.change(ctx, c, i); ok {
				mu.Lock()
				got[version]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for version, k := range got {
		if k > 1 {
			p.fault("%d changes were acknowledged under version %d", k, version)
		}
	}
	if x.Do == "race" && len(got) > 1 {
		p.fault("%d changes onto version %d were acknowledged", len(got), *base)
	}
	if len(got) == 0 {
		return errs.New(errs.OutcomeUnknown, "%s: none of %d changes was acknowledged", x.Do, n)
	}
	return nil
}
