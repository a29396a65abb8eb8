package operatorapi

import (
	"context"
	"fmt"
	"slices"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/tenanthistory"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// holderStateName returns the API's name for whether a worker's cached prefix is presumed or confirmed.
func holderStateName(state uint32) string {
	return [...]string{"", "presumed", "confirmed"}[min(state, 2)]
}

// newPrefixItem describes a prompt prefix and its holders; found is nil if the prompt index doesn't know it.
func newPrefixItem(key prefix.Key, found *wire.LookupResult) operator.FoundPrefixesItem {
	item := operator.FoundPrefixesItem{Key: key.String(), Holders: []string{}}
	if found == nil {
		return item
	}
	item.Hotness = found.Hotness
	for _, holder := range found.Holders {
		item.Holders = append(item.Holders, fmt.Sprintf("%s:%s", holder.Worker, holderStateName(holder.State)))
	}
	return item
}

// LookUp asks the prompt index which workers cache each prefix of a prompt.
//
// Example: POST /v1/index {"model": "lector", "tenant": "biblioteca", "parts": ["…"]}
func (s *Server) LookUp(ctx context.Context, request *operator.Lookup) (*operator.Found, error) {
	_, config, err := s.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	target, ok := config.Resolve(config.Routes[request.Model].DefaultTarget(request.Model))
	if !ok {
		return nil, errs.New(errs.NoSuchModel, "model %q isn't in the configuration in force", request.Model)
	}
	model := prefix.QualifiedModel(target.Model, target.Adapter, target.Build)
	chain := prefix.Chain(config.CacheDomain(request.Tenant), model, target.Weights, request.Parts)
	var keys []prefix.Key
	for _, element := range chain {
		keys = append(keys, element.Key)
	}
	found := promptindex.NewShards(s.view().Nodes).Lookup(ctx, keys, s.clients.PromptIndex, s.bounds.Recovery(lookupTimeoutRatio))
	response := &operator.Found{Prefixes: []operator.FoundPrefixesItem{}}
	for _, element := range chain {
		item := newPrefixItem(element.Key, found[element.Key])
		item.Tokens = operator.NewOptInt(element.Tokens)
		response.Prefixes = append(response.Prefixes, item)
	}
	return response, nil
}

// LookUp asks the prompt index which workers cache each part of a prompt, given by part ID, for the target
// version of the model's weights; without a target, for the newest version that any worker serves.
//
// Example: POST /v1/index {"model": "lector", "tenant": "biblioteca", "parts": ["5c1e07a2"]}
func (s *groupServer) LookUp(ctx context.Context, request *operator.Lookup) (*operator.Found, error) {
	plan, err := s.readPlan(ctx)
	if err != nil {
		return nil, err
	}
	tenant := slices.IndexFunc(plan.Tenants, func(t routingconfig.Tenant) bool { return t.Name == request.Tenant })
	if tenant < 0 {
		return nil, errs.New(errs.NotFound, "tenant %q isn't in the configuration in force", request.Tenant)
	}
	if !slices.ContainsFunc(plan.Services, func(service routingconfig.Service) bool {
		return service.Engine != nil && slices.Contains(service.Engine.Models, request.Model)
	}) {
		return nil, errs.New(errs.NoSuchModel, "model %q isn't in the configuration in force", request.Model)
	}
	workers, err := s.readWorkers(ctx)
	if err != nil {
		return nil, err
	}
	salt := selection.CacheSalt(request.Model, workers.weightsInUse(request.Model), plan.CacheDomain(&plan.Tenants[tenant]))
	keys := make([]prefix.Key, len(request.Parts))
	for i, id := range request.Parts {
		keys[i] = promptindex.PartKey(salt, id)
	}
	indexNodes := promptindex.ServingNodes(s.view().Nodes)
	found := promptindex.NewShards(indexNodes).Lookup(ctx, keys, s.clients.PromptIndex, s.bounds.Recovery(lookupTimeoutRatio))
	response := &operator.Found{Prefixes: []operator.FoundPrefixesItem{}}
	for _, key := range keys {
		response.Prefixes = append(response.Prefixes, newPrefixItem(key, found[key]))
	}
	return response, nil
}

// readPlan reads and decodes the routing plan in force.
func (s *groupServer) readPlan(ctx context.Context) (*routingconfig.Plan, error) {
	document, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, err
	}
	plan, err := s.decodePlan(document.Body)
	if err != nil {
		return nil, errs.Wrap(err, "decode routing plan")
	}
	plan.SharedDomain = tenanthistory.SharedDomain(document, len(plan.Tenants) > 0)
	return plan, nil
}
