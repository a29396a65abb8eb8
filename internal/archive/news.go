package archive

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// settled tells whether this member can vouch that nothing newer of a key than what it
// has applied was ever acknowledged with its help.
func (p *part) settled(key string) bool {
	s := p.core.Stands()
	if p.bad != nil || s.Blank {
		return false
	}
	for _, e := range p.core.Unsettled() {
		c := &wire.Command{}
		if len(e.Body) > 0 && (proto.Unmarshal(e.Body, c) != nil || c.GetPut().GetKey() == key) {
			return false
		}
	}
	return true
}

// tellNews holds the question until there is news or its time is over. "same" is a vouch:
// this member's disk has nothing newer.
func (p *part) tellNews(ctx context.Context, a *wire.NewsAsk, member string) *wire.NewsTell {
	t := &wire.NewsTell{Outcome: "cant-say", Member: member}
	end := time.NewTimer(time.Duration(a.HoldNs))
	defer end.Stop()
	for over := false; ; {
		var c chan struct{}
		ok := p.ask(ctx, func() {
			if t = p.newsNow(a, member, over); t == nil {
				c = make(chan struct{})
				p.news[c] = true
			}
		})
		if !ok {
			return &wire.NewsTell{Outcome: "cant-say", Member: member}
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
			return &wire.NewsTell{Outcome: "cant-say", Member: member}
		}
		p.in.Offer(func() { delete(p.news, c) })
	}
}

// newsNow gives the answer that can be given now; nil means: wait.
func (p *part) newsNow(a *wire.NewsAsk, member string, over bool) *wire.NewsTell {
	t := p.newsHere(a, member, over)
	if t != nil {
		t.Incarnation, t.Known = p.core.Lives()
	}
	return t
}

func (p *part) newsHere(a *wire.NewsAsk, member string, over bool) *wire.NewsTell {
	d := p.st.docs[a.Key]
	switch {
	case p.bad == nil && d.GetEpoch() > a.Have:
		return &wire.NewsTell{Outcome: "news", Doc: d, Member: member, Settled: p.settled(a.Key)}
	case over && p.settled(a.Key) && d.GetEpoch() == a.Have:
		return &wire.NewsTell{Outcome: "same", Member: member}
	case over || p.bad != nil || len(p.news) >= 1024:
		return &wire.NewsTell{Outcome: "cant-say", Member: member}
	}
	return nil
}
