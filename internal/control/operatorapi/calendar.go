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

// entryAttempts is the number of attempts to write an operator's change to a calendar entry when the
// controller updates the same entry concurrently.
const entryAttempts = 5

func (s *Server) readCalendar(ctx context.Context) ([]*wire.Document, error) {
	return s.readAllShards(ctx, calendar.KeyPrefix, "calendar")
}

// ListMoves lists all calendar entries: the planned, running and completed changes of services.
//
// Example: GET /v1/calendar
func (s *Server) ListMoves(ctx context.Context) (*operator.Moves, error) {
	documents, err := s.readCalendar(ctx)
	if err != nil {
		return nil, err
	}
	list := &operator.Moves{Moves: []jx.Raw{}}
	for _, document := range documents {
		list.Moves = append(list.Moves, jx.Raw(document.Body))
	}
	return list, nil
}

// WriteMove writes a calendar entry in state planned. The leader of the service's shard detects conflicts
// with entries of the same service; conflicts with entries of other services are checked here.
//
// Example: POST /v1/calendar {"move": {"name": "spring", "service": "lector-main", "kind": "weights", "model": "lector", "weights": 4}}
func (s *Server) WriteMove(ctx context.Context, request *operator.NewMove) (*operator.Changed, error) {
	entry, err := calendar.Decode(request.Move)
	if err != nil {
		return nil, err
	}
	entry.State, entry.Reason, entry.Steps, entry.CurrentStep = calendar.StatePlanned, "", nil, 0
	documents, err := s.readCalendar(ctx)
	if err != nil {
		return nil, err
	}
	var faults errs.Batch
	entry.Validate(&faults)
	var others []*calendar.Entry
	version := uint64(0) // version of the stored entry that this entry replaces; 0 if there is none
	for _, document := range documents {
		other, err := calendar.Decode(document.Body)
		if faults.Add(document.Key, err); err != nil {
			continue
		}
		if other.Name != entry.Name || other.Service != entry.Service {
			others = append(others, other)
			continue
		}
		version = document.Version
		if other.Active() {
			faults.Addf(errs.Conflict, "calendar entry %q of service %s is %s: use another name, or cancel or undo that entry first", other.Name, other.Service, other.State)
		}
	}
	faults.Add("calendar", entry.CheckConflicts(others))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s.putEntry(ctx, entry, version, request.Dry.Or(false))
}

// putEntry writes a calendar entry, provided that its stored version is still the given one.
func (s *Server) putEntry(ctx context.Context, entry *calendar.Entry, version uint64, dryRun bool) (*operator.Changed, error) {
	body, err := entry.Encode()
	if err != nil {
		return nil, err
	}
	put := &wire.Put{Key: calendar.Key(entry.Service, entry.Name), Body: body, IfVersion: version}
	return s.putServiceDocument(ctx, entry.Service, put, dryRun, "calendar", string(entry.State))
}

// AskMove pauses, resumes, cancels or undoes a calendar entry. The controller writes the same document, so a
// request that conflicts with one of its writes is retried on the new version.
//
// Example: POST /v1/calendar/lector-main/spring/pause
func (s *Server) AskMove(ctx context.Context, params operator.AskMoveParams) (*operator.Changed, error) {
	var conflict error
	for range entryAttempts {
		response, err := s.control.Read(ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(params.Service), Key: calendar.Key(params.Service, params.Name)})
		if err != nil {
			return nil, errs.Wrap(err, "read calendar")
		}
		if len(response.Documents) == 0 {
			return nil, errs.New(errs.NotFound, "service %q has no calendar entry %q", params.Service, params.Name)
		}
		document := response.Documents[0]
		entry, err := calendar.Decode(document.Body)
		if err != nil {
			return nil, err
		}
		if err := entry.ApplyVerb(calendar.Verb(params.Verb)); err != nil {
			return nil, err
		}
		changed, err := s.putEntry(ctx, entry, document.Version, false)
		if err == nil || errs.KindOf(err) != errs.Conflict {
			return changed, err
		}
		conflict = err
	}
	return nil, errs.WrapAs(conflict, errs.Conflict, fmt.Sprintf("%s calendar entry %q: its version changed during each of %d attempts", params.Verb, params.Name, entryAttempts))
}
