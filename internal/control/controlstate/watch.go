package controlstate

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// hasNothingNewer tells whether this member's log holds no newer document of a key than what it has
// applied: then none was ever acknowledged with its help.
func (p *shard) hasNothingNewer(key string) bool {
	s := p.core.Status()
	if p.failure != nil || s.Blank {
		return false
	}
	for _, e := range p.core.UnappliedEntries() {
		c := &wire.Command{}
		if len(e.Body) > 0 && (proto.Unmarshal(e.Body, c) != nil || c.GetPut().GetKey() == key) {
			return false
		}
	}
	return true
}

// watch holds the request until there is a newer document or its time is over. OutcomeSame is this
// member's word that its disk holds nothing newer; what a majority of such words proves is the
// caller's to say.
func (p *shard) watch(ctx context.Context, a *wire.WatchRequest, member string) *wire.WatchResponse {
	t := &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
	end := time.NewTimer(time.Duration(a.MaxWaitNs))
	defer end.Stop()
	for over := false; ; {
		var c chan struct{}
		ok := p.runOnLoop(ctx, func() {
			if t = p.watchResponse(a, member, over); t == nil {
				c = make(chan struct{})
				p.watchers[c] = true
			}
		})
		if !ok {
			return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
		}
		if t != nil {
			return t
		}
		select {
		case <-c:
		case <-end.C:
			over = true
		case <-ctx.Done():
			over = true
		case <-p.ctx.Done():
			return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
		}
		p.commands.Offer(func() { delete(p.watchers, c) })
	}
}

// watchResponse gives the response that can be given now; nil means: wait.
func (p *shard) watchResponse(a *wire.WatchRequest, member string, over bool) *wire.WatchResponse {
	t := p.documentResponse(a, member, over)
	if t != nil {
		t.Incarnation, t.KnownIncarnations = p.core.Incarnations()
	}
	return t
}

func (p *shard) documentResponse(a *wire.WatchRequest, member string, over bool) *wire.WatchResponse {
	d := p.state.documents[a.Key]
	switch {
	case p.failure == nil && d.GetVersion() > a.KnownVersion:
		return &wire.WatchResponse{Outcome: wire.OutcomeUpdated, Document: d, Member: member, NothingNewer: p.hasNothingNewer(a.Key)}
	case over && p.hasNothingNewer(a.Key) && d.GetVersion() == a.KnownVersion:
		return &wire.WatchResponse{Outcome: wire.OutcomeUnchanged, Member: member}
	case over || p.failure != nil || len(p.watchers) >= 1024:
		return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
	}
	return nil
}
