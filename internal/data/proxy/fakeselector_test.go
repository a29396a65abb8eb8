package proxy

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// fakeSelector selects the first worker of the service that was not tried yet, and records the reported outcomes.
type fakeSelector struct {
	mu           sync.Mutex
	outcomes     []selection.Outcome
	loads        []selection.Load
	openAttempts int
	lookups      int // requests whose parts were looked up
	editChoice   func(*selection.Choice)
}

func (p *fakeSelector) Lookup(context.Context, *fleet.Snapshot, *selection.Request) map[prefix.Key]*wire.LookupResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookups++
	return nil
}

func (p *fakeSelector) Select(s *fleet.Snapshot, r *selection.Request, _ map[prefix.Key]*wire.LookupResult, tried map[string]bool) (selection.Choice, bool) {
	for _, w := range s.Workers {
		if w.Service == r.Service && !w.Draining && !tried[w.ID] {
			c := selection.Choice{Worker: w, Urgency: -1}
			if p.editChoice != nil {
				p.editChoice(&c)
			}
			return c, true
		}
	}
	return selection.Choice{}, false
}

func (p *fakeSelector) RecordSent(*selection.Request, selection.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openAttempts++
}

func (p *fakeSelector) RecordFirstEvent(*selection.Request, selection.Choice, *selection.Load, time.Duration) {
}

func (p *fakeSelector) RecordOutcome(_ *selection.Request, _ selection.Choice, e selection.Outcome, l *selection.Load, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openAttempts--
	p.outcomes = append(p.outcomes, e)
	if l != nil {
		p.loads = append(p.loads, *l)
	}
}
