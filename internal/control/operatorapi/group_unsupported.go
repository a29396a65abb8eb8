package operatorapi

import (
	"context"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

// unsupported is the error for what a site with a group doesn't have.
func unsupported(what, instead string) error {
	return errs.New(errs.NotSupported, "a site whose membership is agreed has no %s: %s", what, instead)
}

// RevokeKey isn't supported here.
//
// Example: POST /v1/keys/revoke responds with not-here
func (s *groupServer) RevokeKey(context.Context, *operator.Revoke) (*operator.Changed, error) {
	return nil, unsupported("command for one key", "send the tenant without the key: pebblectl config patch --file PART --if-epoch N")
}

// Drain isn't supported here.
//
// Example: POST /v1/drain responds with not-here
func (s *groupServer) Drain(context.Context, *operator.Drain) (*operator.Changed, error) {
	return nil, unsupported("drain of its own", "have the platform's list of workers mark the worker, and see pebblectl workers")
}

// insteadOfMoves is what operators of a site with a group do in place of calendar entries.
const insteadOfMoves = "name weights with pebblectl weights name, change the plan with pebblectl config patch"

// ListMoves isn't supported here.
//
// Example: GET /v1/calendar responds with not-here
func (s *groupServer) ListMoves(context.Context) (*operator.Moves, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// WriteMove isn't supported here.
//
// Example: POST /v1/calendar responds with not-here
func (s *groupServer) WriteMove(context.Context, *operator.NewMove) (*operator.Changed, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// AskMove isn't supported here.
//
// Example: POST /v1/calendar/lector-main/spring/pause responds with not-here
func (s *groupServer) AskMove(context.Context, operator.AskMoveParams) (*operator.Changed, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// insteadOfRetirements is what operators of a site with a group do in place of retirements.
const insteadOfRetirements = "name the new model's weights with pebblectl weights name, and move its routes with pebblectl config patch"

// ListRetirements isn't supported here.
//
// Example: GET /v1/retirements responds with not-here
func (s *groupServer) ListRetirements(context.Context) (*operator.Retirements, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// PlanRetirement isn't supported here.
//
// Example: POST /v1/retirements responds with not-here
func (s *groupServer) PlanRetirement(context.Context, *operator.NewRetirement) (*operator.Changed, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// AskRetirement isn't supported here.
//
// Example: POST /v1/retirements/lector-main/spring/start responds with not-here
func (s *groupServer) AskRetirement(context.Context, operator.AskRetirementParams) (*operator.Changed, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// Explain isn't supported here: edge machines remember no requests.
//
// Example: GET /v1/explain/r1 responds with not-here
func (s *groupServer) Explain(context.Context, operator.ExplainParams) (*operator.Explained, error) {
	return nil, unsupported("memory of single requests", "see the edges' logs and /metrics at their internal address (pebblectl nodes)")
}
