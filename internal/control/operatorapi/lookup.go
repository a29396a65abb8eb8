package operatorapi

import (
	"context"
	"fmt"
	"slices"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
)

// LookUp asks the prompt index for the holders of each part of a prompt, named by its IDs, under the
// newest named weights; if none are named, under the newest that a worker serves.
//
// Example: POST /v1/index {"model": "lector", "tenant": "biblioteca", "parts": ["5c1e07a2"]}
func (s *siteServer) LookUp(ctx context.Context, q *operator.Lookup) (*operator.Found, error) {
	doc, err := s.Server.readConfigDocument(ctx)
	if err != nil {
		return nil, err
	}
	p, err := s.decodePlan(doc.Body)
	if err != nil {
		return nil, errs.Wrap(err, "read plan")
	}
	i := slices.IndexFunc(p.Tenants, func(t routingconfig.Tenant) bool { return t.Name == q.Tenant })
	if i < 0 {
		return nil, errs.New(errs.NotFound, "tenant %q", q.Tenant)
	}
	if !slices.ContainsFunc(p.Services, func(service routingconfig.Service) bool {
		return service.Engine != nil && slices.Contains(service.Engine.Models, q.Model)
	}) {
		return nil, errs.New(errs.NoSuchModel, "model %q", q.Model)
	}
	w, err := s.readWorkers(ctx)
	if err != nil {
		return nil, err
	}
	weights := w.named[q.Model]
	if weights == 0 {
		for _, x := range w.workers {
			weights = max(weights, x.Weights[q.Model])
		}
	}
	text := selection.CacheSalt(q.Model, weights, &p.Tenants[i])
	ks := make([]prefix.Key, len(q.Parts))
	for i, id := range q.Parts {
		ks[i] = promptindex.PartKey(text, id)
	}
	got := promptindex.NewShards(promptindex.ServingNodes(s.view().Nodes)).Lookup(ctx, ks, s.clients.PromptIndex, s.bounds.Heal(1.0/24))
	f := &operator.Found{Prefixes: []operator.FoundPrefixesItem{}}
	for _, k := range ks {
		x := operator.FoundPrefixesItem{Key: k.String(), Holders: []string{}}
		if g := got[k]; g != nil {
			x.Hotness = g.Hotness
			for _, h := range g.Holders {
				x.Holders = append(x.Holders, fmt.Sprintf("%s:%s", h.Worker, [...]string{"", "presumed", "confirmed"}[min(h.State, 2)]))
			}
		}
		f.Prefixes = append(f.Prefixes, x)
	}
	return f, nil
}
