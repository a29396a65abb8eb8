package operatorapi

import (
	"context"
	"fmt"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// readCalendar reads all entries of the calendar, shard by shard, each by majority.
func (s *Server) readCalendar(ctx context.Context) ([]*wire.Document, error) {
	var l []*wire.Document
	for p := range uint32(controlclient.ShardCount) {
		t, err := s.control.Read(ctx, &wire.ReadRequest{Shard: p, Key: "calendar/", Prefix: true})
		if err != nil {
			return nil, errs.Wrap(err, "read calendar")
		}
		l = append(l, t.Documents...)
	}
	return l, nil
}

// ListMoves lists the calendar.
//
// Example: GET /v1/calendar
func (s *Server) ListMoves(ctx context.Context) (*operator.Moves, error) {
	ds, err := s.readCalendar(ctx)
	if err != nil {
		return nil, err
	}
	l := &operator.Moves{Moves: []jx.Raw{}}
	for _, x := range ds {
		l.Moves = append(l.Moves, jx.Raw(x.Body))
	}
	return l, nil
}

// WriteMove writes a planned move. Conflicts within a service are detected by the shard's leader;
// those with another service's moves are checked here.
//
// Example: POST /v1/calendar {"move": {"name": "spring", "service": "lector-main", "kind": "weights", "model": "lector", "weights": 4}}
func (s *Server) WriteMove(ctx context.Context, q *operator.NewMove) (*operator.Changed, error) {
	e, err := calendar.Decode(q.Move)
	if err != nil {
		return nil, err
	}
	e.State, e.Reason, e.Steps, e.CurrentStep = calendar.StatePlanned, "", nil, 0
	ds, err := s.readCalendar(ctx)
	if err != nil {
		return nil, err
	}
	var b errs.Batch
	e.Validate(&b)
	var others []*calendar.Entry
	old := uint64(0)
	for _, x := range ds {
		o, err := calendar.Decode(x.Body)
		if b.Add(x.Key, err); err != nil {
			continue
		}
		if o.Name == e.Name && o.Service == e.Service {
			if old = x.Version; o.Active() {
				b.Addf(errs.Conflict, "entry %q of %s is %s: give another name, or end it first", o.Name, o.Service, o.State)
			}
			continue
		}
		others = append(others, o)
	}
	b.Add("calendar", e.CheckConflicts(others))
	if err := b.Err(); err != nil {
		return nil, err
	}
	return s.putEntry(ctx, e, old, q.Dry.Or(false))
}

func (s *Server) putEntry(ctx context.Context, e *calendar.Entry, epoch uint64, dry bool) (*operator.Changed, error) {
	body, err := e.Encode()
	if err != nil {
		return nil, err
	}
	p := &wire.Put{Key: calendar.Key(e.Service, e.Name), Body: body, IfVersion: epoch}
	t, err := s.control.Change(ctx, &wire.ChangeRequest{Shard: controlclient.ShardOf(e.Service), Command: &wire.Command{Kind: &wire.Command_Put{Put: p}}, DryRun: dry})
	if err != nil {
		return nil, errs.Wrap(err, "write calendar")
	}
	return &operator.Changed{Epoch: int64(t.Version), Outcome: t.Outcome, Note: operator.NewOptString(e.State)}, nil
}

// AskMove pauses, resumes, cancels or undoes a move. The controller writes the same entry, so a change
// that crosses with a step is retried on the new version.
//
// Example: POST /v1/calendar/lector-main/spring/pause
func (s *Server) AskMove(ctx context.Context, q operator.AskMoveParams) (*operator.Changed, error) {
	var last error
	for range 5 {
		t, err := s.control.Read(ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(q.Service), Key: calendar.Key(q.Service, q.Name)})
		if err != nil {
			return nil, errs.Wrap(err, "read calendar")
		}
		if len(t.Documents) == 0 {
			return nil, errs.New(errs.NotFound, "service %q has no entry %q", q.Service, q.Name)
		}
		e, err := calendar.Decode(t.Documents[0].Body)
		if err != nil {
			return nil, err
		}
		if err := e.ApplyVerb(string(q.Verb)); err != nil {
			return nil, err
		}
		c, err := s.putEntry(ctx, e, t.Documents[0].Version, false)
		if errs.KindOf(err) != errs.Conflict || err == nil {
			return c, err
		}
		last = err
	}
	return nil, errs.WrapAs(last, errs.Conflict, fmt.Sprintf("entry %q keeps changing", q.Name))
}
