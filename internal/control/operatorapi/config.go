package operatorapi

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/tenanthistory"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// jsonObject is an object in a JSON merge patch; a nil value removes its key (RFC 7396).
type jsonObject = map[string]any

func (s *Server) readConfigDocument(ctx context.Context) (*wire.Document, error) {
	response, err := s.control.Read(ctx, &wire.ReadRequest{Key: s.configKey})
	if err != nil {
		return nil, errs.Wrap(err, "read service configuration")
	}
	if len(response.Documents) == 0 {
		return nil, errs.New(errs.NotFound, "no service configuration has been applied yet")
	}
	return response.Documents[0], nil
}

// readConfig reads the service configuration in force and the versioned document that holds it.
func (s *Server) readConfig(ctx context.Context) (*wire.Document, *serviceconfig.Config, error) {
	document, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, nil, err
	}
	config, err := serviceconfig.Decode(document.Body)
	if err != nil {
		return nil, nil, errs.Wrap(err, "read service configuration")
	}
	config.SetSharedDomain(tenanthistory.SharedDomain(document, len(config.Tenants) > 0))
	return document, config, nil
}

// configChange is a requested change to the stored configuration document.
type configChange struct {
	body      []byte
	isPatch   bool    // body is a JSON merge patch to the configuration in force
	ifVersion *uint64 // version that must be in force for the change to apply; nil accepts any version
	token     string
	dryRun    bool
}

func (s *Server) putConfig(ctx context.Context, change configChange) (*operator.Changed, error) {
	put := &wire.Put{Key: s.configKey, Body: change.body, Token: change.token, AnyVersion: change.ifVersion == nil}
	if change.ifVersion != nil {
		put.IfVersion = *change.ifVersion
	}
	request := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}, Patch: change.isPatch, DryRun: change.dryRun}
	response, err := s.control.Change(ctx, request)
	if err != nil {
		return nil, errs.Wrap(err, "change service configuration")
	}
	changed := &operator.Changed{Epoch: int64(response.Version), Outcome: response.Outcome}
	if response.TokenReuse != "" {
		changed.Note = operator.NewOptString(response.TokenReuse)
	}
	return changed, nil
}

// patchConfig merges a patch into the configuration, provided that the document's version is still in force.
func (s *Server) patchConfig(ctx context.Context, document *wire.Document, patch jsonObject, token string) (*operator.Changed, error) {
	body, err := json.Marshal(patch)
	if err != nil {
		return nil, errs.Wrap(err, "encode configuration patch")
	}
	return s.putConfig(ctx, configChange{body: body, isPatch: true, ifVersion: &document.Version, token: token})
}

// GetSetup reads the service configuration in force.
//
// Example: GET /v1/setup
func (s *Server) GetSetup(ctx context.Context) (*operator.SetupInForce, error) {
	document, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, err
	}
	return &operator.SetupInForce{Epoch: int64(document.Version), Setup: jx.Raw(document.Body)}, nil
}

// ChangeSetup applies a service configuration, or a patch to the one in force.
//
// Example: POST /v1/setup {"setup": {"models": {"lector": {"weights": 4}}}, "partial": true}
func (s *Server) ChangeSetup(ctx context.Context, request *operator.SetupChange) (*operator.Changed, error) {
	change := configChange{body: request.Setup, isPatch: request.Partial.Or(false), token: request.Token.Or(""), dryRun: request.Dry.Or(false)}
	if value, ok := request.IfEpoch.Get(); ok {
		version := uint64(value)
		change.ifVersion = &version
	}
	return s.putConfig(ctx, change)
}

// NameWeights sets the target version of a model's weights, which its workers are to serve.
//
// Example: POST /v1/weights {"model": "lector", "weights": 4}
func (s *Server) NameWeights(ctx context.Context, request *operator.Weights) (*operator.Changed, error) {
	document, config, err := s.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	model, ok := config.Models[request.Model]
	if !ok {
		return nil, errs.New(errs.NoSuchModel, "model %q isn't in the configuration in force", request.Model)
	}
	if model.Weights == uint64(request.Weights) {
		return &operator.Changed{Epoch: int64(document.Version), Outcome: wire.OutcomeDone, Note: operator.NewOptString(fmt.Sprintf("weights %d of %s are in force already", request.Weights, request.Model))}, nil
	}
	if uint64(request.Weights) < model.Weights {
		return nil, errs.New(errs.BadInput, "weights %d of %s are older than %d in force: give a later version", request.Weights, request.Model, model.Weights)
	}
	patch := jsonObject{"models": jsonObject{request.Model: jsonObject{"weights": request.Weights}}}
	return s.patchConfig(ctx, document, patch, request.Token.Or(""))
}

// RevokeKey removes one API key of a tenant from the service configuration.
//
// Example: POST /v1/keys/revoke {"tenant": "hotline", "key": "…"}
func (s *Server) RevokeKey(ctx context.Context, request *operator.Revoke) (*operator.Changed, error) {
	document, config, err := s.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	tenant, ok := config.Tenants[request.Tenant]
	if !ok {
		return nil, errs.New(errs.NotFound, "tenant %q isn't in the configuration in force", request.Tenant)
	}
	remaining := []string{}
	for _, key := range tenant.Keys {
		if key != request.Key {
			remaining = append(remaining, key)
		}
	}
	if len(remaining) == len(tenant.Keys) {
		return nil, errs.New(errs.NotFound, "tenant %q has no such key", request.Tenant)
	}
	patch := jsonObject{"tenants": jsonObject{request.Tenant: jsonObject{"keys": remaining}}}
	return s.patchConfig(ctx, document, patch, "")
}

// Drain marks a worker as draining, so that it gets no new requests, or removes the mark.
//
// Example: POST /v1/drain {"worker": "worker-3", "drain": true}
func (s *Server) Drain(ctx context.Context, request *operator.Drain) (*operator.Changed, error) {
	document, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, err
	}
	var draining any // nil removes the worker from the configuration's list of draining workers
	if request.Drain {
		draining = true
	}
	return s.patchConfig(ctx, document, jsonObject{"drains": jsonObject{request.Worker: draining}}, "")
}
