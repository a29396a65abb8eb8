package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/errs"
)

// calendar carries out the steps of a scenario that have to do with planned moves.
func (p *play) calendar(ctx context.Context, x Step) error {
	to := strings.ReplaceAll(x.To, "{model}", p.f.Site.Traffic.Model)
	who := strings.ReplaceAll(x.Who, "{model}", p.f.Site.Traffic.Model)
	switch x.Do {
	case "retire", "retire-ask", "retired":
		return p.retirement(ctx, x.Do, who, to)
	case "write":
		_, err := p.post(ctx, "/v1/calendar", map[string]any{"move": json.RawMessage(to)})
		return err
	case "clash":
		raw, err := json.Marshal(map[string]any{"move": json.RawMessage(to)})
		if err != nil {
			return errs.Wrap(err, "write")
		}
		if code, said := p.f.Post(ctx, p.f.Site.Operators[0], "/v1/calendar", raw); code != 409 || !strings.Contains(said, "clashes") {
			return errs.New(errs.Internal, "a clash was answered by %d %s", code, said)
		}
		return nil
	case "patch":
		_, err := p.post(ctx, "/v1/setup", map[string]any{"partial": true, "setup": json.RawMessage(to), "token": fmt.Sprint("patch-", x.At)})
		return err
	case "ask":
		_, err := p.post(ctx, "/v1/calendar/"+who+"/"+to, map[string]any{})
		return err
	case "platform":
		p.aside.Go(func() { p.platform(ctx) })
		return nil
	case "second": // these workers are the second service's from now on
		l, err := p.who(ctx, who)
		if err != nil {
			return err
		}
		for _, n := range l {
			for _, w := range p.f.Site.List {
				if w.Name == n {
					w.Service = p.f.Site.Traffic.Model + "-two"
					if err := p.list(ctx, w); err != nil {
						return err
					}
				}
			}
		}
		return nil
	}
	for i := 0; ; i++ {
		_, said := p.f.Get(ctx, p.f.Site.Operators[i%len(p.f.Site.Operators)], "/v1/calendar")
		var l struct {
			Moves []json.RawMessage `json:"moves"`
		}
		last := said
		if json.Unmarshal([]byte(said), &l) == nil {
			for _, m := range l.Moves {
				if e, err := calendar.Decode(m); err == nil && e.Service+"/"+e.Name == who {
					if last = fmt.Sprintf("%s, step %d of %d, %s", e.State, e.CurrentStep, len(e.Steps), e.Reason); string(e.State) == to {
						return nil
					}
				}
			}
		}
		if i >= 60 {
			return errs.New(errs.Internal, "%s isn't %s: %s", who, to, last)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (p *play) list(ctx context.Context, w contract.ListedWorker) error {
	raw, err := json.Marshal(w)
	if err != nil {
		return errs.Wrap(err, "write")
	}
	if code, said := p.f.Post(ctx, p.f.rank(), "/v1/workers", raw); code != 200 {
		return errs.New(errs.Internal, "list %s: %d %s", w.Name, code, said)
	}
	return nil
}

// platform replaces every worker that the setup drains, once it is idle: it warns it, ends
// it and starts it anew.
func (p *play) platform(ctx context.Context) {
	be := contract.NewBackends(p.f.on.Dial)
	defer be.Close()
	done := map[string]bool{}
	for ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		_, said := p.f.Get(ctx, p.f.Site.Operators[5], "/v1/setup")
		var s struct {
			Setup struct {
				Drains map[string]bool `json:"drains"`
			} `json:"setup"`
		}
		if json.Unmarshal([]byte(said), &s) != nil {
			continue
		}
		for n := range s.Setup.Drains {
			st, err := be.State(ctx, p.f.Site.Cabs[n])
			if done[n] || err != nil || st.Busy > 0 || st.Queued > 0 {
				continue
			}
			done[n] = true
			if p.f.Signal(n, syscall.SIGTERM) == nil {
				time.Sleep(300 * time.Millisecond)
				if err := p.f.Signal(n, syscall.SIGKILL); err == nil || errs.KindOf(err) == errs.Internal {
					if err := p.f.Start(n); err != nil {
						p.fault("platform: %v", err)
					}
				}
			}
		}
	}
}
