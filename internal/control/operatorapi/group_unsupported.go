package operatorapi

import (
	"context"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

// unsupported returns the error for an operation that platform sites don't support, naming the alternative. On a
// platform site, an inference platform provides the worker list and the format of the configuration.
func unsupported(what, instead string) error {
	return errs.New(errs.NotSupported, "%s: not supported on a platform site: %s", what, instead)
}

// RevokeKey returns a not-supported error, because on platform sites API keys are removed by a change of the
// configuration.
//
// Example: POST /v1/keys/revoke responds with not-here
func (s *groupServer) RevokeKey(context.Context, *operator.Revoke) (*operator.Changed, error) {
	return nil, unsupported("revoke key", "apply the tenant without the key: pebblectl config patch --file FILE --if-version VERSION")
}

// Drain returns a not-supported error, because on platform sites workers are marked as draining in the platform's own
// worker list.
//
// Example: POST /v1/drain responds with not-here
func (s *groupServer) Drain(context.Context, *operator.Drain) (*operator.Changed, error) {
	return nil, unsupported("drain worker", "mark the worker as draining in the platform's worker list, then check it with pebblectl workers")
}

// insteadOfMoves names the commands to use on platform sites, which have no calendar of scheduled changes of services.
const insteadOfMoves = "set target weights with pebblectl weights name, change the routing plan with pebblectl config patch"

// ListMoves rejects a request for the calendar entries (scheduled changes of services) with a not-supported error,
// because platform sites have no calendar.
//
// Example: GET /v1/calendar responds with not-here
func (s *groupServer) ListMoves(context.Context) (*operator.Moves, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// WriteMove rejects a new calendar entry (a scheduled change of a service) with a not-supported error, because platform
// sites have no calendar.
//
// Example: POST /v1/calendar responds with not-here
func (s *groupServer) WriteMove(context.Context, *operator.NewMove) (*operator.Changed, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// AskMove rejects a request to pause, resume, cancel or undo a calendar entry (a scheduled change of a service) with a
// not-supported error, because platform sites have no calendar.
//
// Example: POST /v1/calendar/lector-main/spring/pause responds with not-here
func (s *groupServer) AskMove(context.Context, operator.AskMoveParams) (*operator.Changed, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// insteadOfRetirements names the commands to use on platform sites, which don't support planned retirements of base
// models.
const insteadOfRetirements = "set the new model's target weights with pebblectl weights name, and change its routes with pebblectl config patch"

// ListRetirements returns a not-supported error, because platform sites have no planned retirements of base models.
//
// Example: GET /v1/retirements responds with not-here
func (s *groupServer) ListRetirements(context.Context) (*operator.Retirements, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// PlanRetirement returns a not-supported error, because platform sites have no planned retirements of base models.
//
// Example: POST /v1/retirements responds with not-here
func (s *groupServer) PlanRetirement(context.Context, *operator.NewRetirement) (*operator.Changed, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// AskRetirement rejects a request to start, pause, resume or abort the retirement of a base model with a not-supported
// error, because platform sites have no planned retirements.
//
// Example: POST /v1/retirements/lector-main/spring/start responds with not-here
func (s *groupServer) AskRetirement(context.Context, operator.AskRetirementParams) (*operator.Changed, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// Explain returns a not-supported error: edge machines of platform sites keep no routing decisions.
//
// Example: GET /v1/explain/r1 responds with not-here
func (s *groupServer) Explain(context.Context, operator.ExplainParams) (*operator.Explained, error) {
	return nil, unsupported("explain request", "check the logs of the edge machines, and /metrics at their internal addresses as listed by pebblectl nodes")
}
