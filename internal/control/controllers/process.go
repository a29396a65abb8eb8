package controllers

import (
	"context"
	"net/http"
	"sync"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// hotPart of the heal bound is how long index nodes are waited for.
const hotPart = 1.0 / 48

// StartProcess runs a core machine's process of index and placement: a member of the roster in
// the role "catalogue", an index node, and the site's duties while this machine holds them.
//
// Example: err := duty.StartProcess(life, codec, calls)
func StartProcess(l *daemon.Life, codec backend.Codec, calls backend.Calls) error {
	if l.Place.Site == nil {
		return errs.New(errs.BadInput, "index and placement: the settings tell nothing of a site: give its ports and bounds")
	}
	l.Place.Listen = l.Place.Site.Port(l.Place.Site.IP, settings.PortIndex)
	a, err := agent.Start(l, codec, "catalogue")
	if err != nil {
		return errs.Wrap(err, "agent")
	}
	index, err := promptindex.StartSite(l, calls, a.Now)
	if err != nil {
		return errs.Wrap(err, "index")
	}
	links := daemon.NewCalls(l)
	mux := http.NewServeMux()
	mux.Handle(wire.RosterPathPrefix, a.Handler())
	mux.Handle(wire.CataloguePathPrefix, index.Handler())
	if err := l.Serve(l.Place.Listen, mux); err != nil {
		return err
	}
	Start(l, controlclient.NewGroup(l.Place.Seeds, a.View, links, l.Place.Bounds), calls, a.Now, a.View, indexed(l, a.View, links.Catalogue))
	l.Ready.Store(true)
	return nil
}

// indexed asks all index nodes that serve at once, each for a short time. Two hold each entry:
// the higher count is taken.
func indexed(l *daemon.Life, view func() clustermembership.View, node func(addr string) wire.Catalogue) Hottest {
	return func(ctx context.Context, service string) []*wire.Hot {
		ctx, end := context.WithTimeout(ctx, l.Place.Bounds.Heal(hotPart))
		defer end()
		ns := promptindex.Serving(view().Nodes)
		got := make(chan *wire.HotTell, len(ns))
		var wg sync.WaitGroup
		for _, n := range ns {
			wg.Go(func() {
				if t, err := node(n.Addr).Hottest(ctx, &wire.HotAsk{Service: service, Limit: hotMost}); err == nil {
					got <- t
				}
			})
		}
		wg.Wait()
		close(got)
		all := map[string]*wire.Hot{}
		for t := range got {
			for _, h := range t.Hot {
				if o := all[string(h.Key)]; o == nil || o.Hotness < h.Hotness {
					all[string(h.Key)] = h
				}
			}
		}
		hot := make([]*wire.Hot, 0, len(all))
		for _, k := range queue.Keys(all) {
			hot = append(hot, all[k])
		}
		return hot
	}
}
