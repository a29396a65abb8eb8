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

// retirementAttempts is the number of attempts to write an operator's change to a retirement when the
// controller updates the same retirement concurrently.
const retirementAttempts = 8

func (s *Server) readRetirements(ctx context.Context) ([]*wire.Document, error) {
	return s.readAllShards(ctx, "retire/", "retirements")
}

// ListRetirements lists all retirements of base models.
//
// Example: GET /v1/retirements
func (s *Server) ListRetirements(ctx context.Context) (*operator.Retirements, error) {
	documents, err := s.readRetirements(ctx)
	if err != nil {
		return nil, err
	}
	list := &operator.Retirements{Retirements: []jx.Raw{}}
	for _, document := range documents {
		list.Retirements = append(list.Retirements, jx.Raw(document.Body))
	}
	return list, nil
}

// PlanRetirement writes the planned retirement of a base model, after checking it against the service
// configuration in force and all other retirements. No traffic moves until the retirement is started.
//
// Example: POST /v1/retirements {"retirement": {"name": "spring", "service": "lector-main", "from": "lector", "to": "lector-2", "replace": {"rare": "rare-2"}}}
func (s *Server) PlanRetirement(ctx context.Context, request *operator.NewRetirement) (*operator.Changed, error) {
	requested, err := retire.Read(request.Retirement)
	if err != nil {
		return nil, err
	}
	planned := newPlanned(requested)
	documents, err := s.readRetirements(ctx)
	if err != nil {
		return nil, err
	}
	var faults errs.Batch
	planned.Validate(&faults)
	var others []*retire.Retirement
	version := uint64(0) // version of the stored retirement that this one replaces; 0 if there is none
	for _, document := range documents {
		other, err := retire.Read(document.Body)
		if faults.Add(document.Key, err); err != nil {
			continue
		}
		if other.Name != planned.Name || other.Service != planned.Service {
			others = append(others, other)
			continue
		}
		version = document.Version
		if other.Active() {
			faults.Addf(errs.Conflict, "retirement %q of service %s is %s: use another name, or abort that retirement first", other.Name, other.Service, other.State)
		}
	}
	faults.Add("retirement", planned.CheckConflicts(others))
	faults.Add("retirement", s.checkAgainstConfig(ctx, planned))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s.putRetirement(ctx, planned, version, request.Dry.Or(false))
}

// newPlanned copies the fields of a retirement that operators set; the controller sets the others.
func newPlanned(r *retire.Retirement) *retire.Retirement {
	return &retire.Retirement{
		Name:              r.Name,
		Service:           r.Service,
		OldBase:           r.OldBase,
		NewBase:           r.NewBase,
		Replacements:      r.Replacements,
		TrafficPercents:   r.TrafficPercents,
		SoakSeconds:       r.SoakSeconds,
		MaxConcurrent:     r.MaxConcurrent,
		AbortFailureRatio: r.AbortFailureRatio,
		State:             retire.StatePlanned,
	}
}

// checkAgainstConfig validates a retirement against the service configuration in force.
func (s *Server) checkAgainstConfig(ctx context.Context, retirement *retire.Retirement) error {
	_, config, err := s.readConfig(ctx)
	if err != nil {
		return err
	}
	var faults errs.Batch
	retirement.ValidateConfig(config, &faults)
	return faults.Err()
}

// putRetirement writes a retirement, provided that its stored version is still the given one.
func (s *Server) putRetirement(ctx context.Context, retirement *retire.Retirement, version uint64, dryRun bool) (*operator.Changed, error) {
	body, err := retirement.Write()
	if err != nil {
		return nil, err
	}
	put := &wire.Put{Key: retire.Key(retirement.Service, retirement.Name), Body: body, IfVersion: version}
	return s.putServiceDocument(ctx, retirement.Service, put, dryRun, "retirement", string(retirement.State))
}

// AskRetirement starts, pauses, resumes or aborts the retirement of a base model; a repeated request changes
// nothing. The controller writes the same document, so a request that conflicts with one of its writes is
// retried on the new version.
//
// Example: POST /v1/retirements/lector-main/spring/pause
func (s *Server) AskRetirement(ctx context.Context, params operator.AskRetirementParams) (*operator.Changed, error) {
	var conflict error
	for range retirementAttempts {
		response, err := s.control.Read(ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(params.Service), Key: retire.Key(params.Service, params.Name)})
		if err != nil {
			return nil, errs.Wrap(err, "read retirement")
		}
		if len(response.Documents) == 0 {
			return nil, errs.New(errs.NotFound, "service %q has no retirement %q", params.Service, params.Name)
		}
		document := response.Documents[0]
		changed, retry, err := s.applyVerb(ctx, document, string(params.Verb))
		if !retry {
			return changed, err
		}
		conflict = err
	}
	return nil, errs.WrapAs(conflict, errs.Conflict, fmt.Sprintf("%s retirement %q: its version changed during each of %d attempts", params.Verb, params.Name, retirementAttempts))
}

// applyVerb applies an operator's verb (start, pause, resume or abort) to a stored retirement. It returns retry
// if the document was changed concurrently; a start isn't retried, since only the version that was read
// has been checked against the configuration.
func (s *Server) applyVerb(ctx context.Context, document *wire.Document, verb string) (changed *operator.Changed, retry bool, err error) {
	retirement, err := retire.Read(document.Body)
	if err != nil {
		return nil, false, err
	}
	before := retirement.State
	if err := retirement.ApplyVerb(verb); err != nil {
		return nil, false, err
	}
	if retirement.State == before {
		return &operator.Changed{Epoch: int64(document.Version), Outcome: wire.OutcomeDone, Note: operator.NewOptString(string(retirement.State))}, false, nil
	}
	if before == retire.StatePlanned && retirement.State == retire.StateRunning {
		if err := s.checkAgainstConfig(ctx, retirement); err != nil {
			return nil, false, err
		}
	}
	changed, err = s.putRetirement(ctx, retirement, document.Version, false)
	retry = err != nil && errs.KindOf(err) == errs.Conflict && before != retire.StatePlanned
	return changed, retry, err
}

// checkRetirements reports retirements that are paused or blocked until an operator acts.
func (s *Server) checkRetirements(ctx context.Context, report *statusReport) {
	documents, err := s.readRetirements(ctx)
	if err != nil {
		report.addProblem("retirements-unknown", entireSite, err.Error(), errs.KindOf(err).Remedy, runbookCoreDown)
		return
	}
	for _, document := range documents {
		retirement, err := retire.Read(document.Body)
		if err != nil || !retirement.Active() {
			continue
		}
		name := retirement.Service + "/" + retirement.Name
		if retirement.State == retire.StatePaused {
			report.addProblem("retirement-paused", name, retirement.Reason, "remove the cause of the pause, then resume or abort the retirement", runbookRetirementBlocked)
		}
		for _, blocker := range retirement.Blockers {
			if blocker.NeedsOperator {
				report.addProblem("retirement-held", name, blocker.Node+": "+blocker.Reason, blocker.Remedy, runbookRetirementBlocked)
			}
		}
	}
}
