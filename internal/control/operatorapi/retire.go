package operatorapi

import (
	"context"
	"fmt"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// readRetirements reads all retirements, shard by shard, each by majority.
func (s *Server) readRetirements(ctx context.Context) ([]*wire.Document, error) {
	var l []*wire.Document
	for p := range uint32(controlclient.ShardCount) {
		t, err := s.control.Read(ctx, &wire.ReadRequest{Shard: p, Key: "retire/", Prefix: true})
		if err != nil {
			return nil, errs.Wrap(err, "read retirements")
		}
		l = append(l, t.Documents...)
	}
	return l, nil
}

// ListRetirements lists all retirements.
//
// Example: GET /v1/retirements
func (s *Server) ListRetirements(ctx context.Context) (*operator.Retirements, error) {
	ds, err := s.readRetirements(ctx)
	if err != nil {
		return nil, err
	}
	l := &operator.Retirements{Retirements: []jx.Raw{}}
	for _, x := range ds {
		l.Retirements = append(l.Retirements, jx.Raw(x.Body))
	}
	return l, nil
}

// PlanRetirement writes a planned retirement, checked against the service configuration in force and
// against all others; nothing moves until it is started.
//
// Example: POST /v1/retirements {"retirement": {"name": "spring", "service": "lector-main", "from": "lector", "to": "lector-2", "replace": {"rare": "rare-2"}}}
func (s *Server) PlanRetirement(ctx context.Context, q *operator.NewRetirement) (*operator.Changed, error) {
	r, err := retire.Read(q.Retirement)
	if err != nil {
		return nil, err
	}
	x := &retire.Retirement{Name: r.Name, Service: r.Service, OldBase: r.OldBase, NewBase: r.NewBase, Replacements: r.Replacements, TrafficPercents: r.TrafficPercents, SoakSeconds: r.SoakSeconds,
		MaxConcurrent: r.MaxConcurrent, AbortFailureRatio: r.AbortFailureRatio, State: retire.StatePlanned}
	ds, err := s.readRetirements(ctx)
	if err != nil {
		return nil, err
	}
	var b errs.Batch
	x.Validate(&b)
	var others []*retire.Retirement
	old := uint64(0)
	for _, y := range ds {
		o, err := retire.Read(y.Body)
		if b.Add(y.Key, err); err != nil {
			continue
		}
		if o.Name == x.Name && o.Service == x.Service {
			if old = y.Version; o.Active() {
				b.Addf(errs.Conflict, "retirement %q of %s is %s: give another name, or end it first", o.Name, o.Service, o.State)
			}
			continue
		}
		others = append(others, o)
	}
	b.Add("retirement", x.CheckConflicts(others))
	b.Add("retirement", s.checkAgainstConfig(ctx, x))
	if err := b.Err(); err != nil {
		return nil, err
	}
	return s.putRetirement(ctx, x, old, q.Dry.Or(false))
}

// checkAgainstConfig checks a retirement against the service configuration in force.
func (s *Server) checkAgainstConfig(ctx context.Context, r *retire.Retirement) error {
	_, config, err := s.readConfig(ctx)
	if err != nil {
		return err
	}
	var b errs.Batch
	r.ValidateConfig(config, &b)
	return b.Err()
}

func (s *Server) putRetirement(ctx context.Context, r *retire.Retirement, version uint64, dry bool) (*operator.Changed, error) {
	body, err := r.Write()
	if err != nil {
		return nil, err
	}
	p := &wire.Put{Key: retire.Key(r.Service, r.Name), Body: body, IfVersion: version}
	t, err := s.control.Change(ctx, &wire.ChangeRequest{Shard: controlclient.ShardOf(r.Service), Command: &wire.Command{Kind: &wire.Command_Put{Put: p}}, DryRun: dry})
	if err != nil {
		return nil, errs.Wrap(err, "write retirement")
	}
	return &operator.Changed{Epoch: int64(t.Version), Outcome: t.Outcome, Note: operator.NewOptString(string(r.State))}, nil
}

// AskRetirement starts, pauses, resumes or aborts a retirement; repeating it changes nothing. The
// controller writes the same document, so a change that crosses with a step is retried on the new
// version.
//
// Example: POST /v1/retirements/lector-main/spring/pause
func (s *Server) AskRetirement(ctx context.Context, q operator.AskRetirementParams) (*operator.Changed, error) {
	var last error
	for range 8 {
		t, err := s.control.Read(ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(q.Service), Key: retire.Key(q.Service, q.Name)})
		if err != nil {
			return nil, errs.Wrap(err, "read retirement")
		}
		if len(t.Documents) == 0 {
			return nil, errs.New(errs.NotFound, "service %q has no retirement %q", q.Service, q.Name)
		}
		r, err := retire.Read(t.Documents[0].Body)
		if err != nil {
			return nil, err
		}
		was := r.State
		if err := r.ApplyVerb(string(q.Verb)); err != nil {
			return nil, err
		}
		if r.State == was {
			return &operator.Changed{Epoch: int64(t.Documents[0].Version), Outcome: wire.OutcomeDone, Note: operator.NewOptString(string(r.State))}, nil
		}
		if was == retire.StatePlanned && r.State == retire.StateRunning {
			if err := s.checkAgainstConfig(ctx, r); err != nil {
				return nil, err
			}
		}
		c, err := s.putRetirement(ctx, r, t.Documents[0].Version, false)
		if errs.KindOf(err) != errs.Conflict || err == nil || was == retire.StatePlanned {
			return c, err
		}
		last = err
	}
	return nil, errs.WrapAs(last, errs.Conflict, fmt.Sprintf("retirement %q keeps changing", q.Name))
}

// checkRetirements reports retirements that need an operator, and what blocks them.
func (s *Server) checkRetirements(ctx context.Context, f *problemList) {
	ds, err := s.readRetirements(ctx)
	if err != nil {
		f.add("retirements-unknown", "site", err.Error(), errs.KindOf(err).Remedy, "core-gone")
		return
	}
	for _, x := range ds {
		r, err := retire.Read(x.Body)
		if err != nil || !r.Active() {
			continue
		}
		if r.State == retire.StatePaused {
			f.add("retirement-paused", r.Service+"/"+r.Name, r.Reason, "find out why, then resume or abort it", "retirement-held")
		}
		for _, h := range r.Blockers {
			if h.NeedsOperator {
				f.add("retirement-held", r.Service+"/"+r.Name, h.Node+": "+h.Reason, h.Remedy, "retirement-held")
			}
		}
	}
}
