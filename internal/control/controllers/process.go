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
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// hotEntriesTimeoutRatio is the timeout of the index nodes' responses, as a ratio of the heal bound.
const hotEntriesTimeoutRatio = 1.0 / 48

// StartProcess runs a core machine's index and placement process: a cluster member in the index role,
// an index node, and the site's controllers while this machine holds the lease.
//
// Example: err := controllers.StartProcess(process, codec, calls)
func StartProcess(process *daemon.Process, codec backend.Codec, calls backend.Client) error {
	if process.Settings.Site == nil {
		return errs.New(errs.BadInput, "index and placement: the settings hold no site: give its ports and bounds")
	}
	process.Settings.Listen = process.Settings.Site.Port(process.Settings.Site.IP, settings.PortIndex)
	a, err := agent.Start(process, codec, clustermembership.RolePromptIndex)
	if err != nil {
		return errs.Wrap(err, "agent")
	}
	index, err := promptindex.StartSite(process, calls, a.Snapshot)
	if err != nil {
		return errs.Wrap(err, "index")
	}
	clients := daemon.NewClients(process)
	mux := http.NewServeMux()
	mux.Handle(wire.MembershipPathPrefix, a.Handler())
	mux.Handle(wire.PromptIndexPathPrefix, index.Handler())
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	Start(process, controlclient.NewGroupClient(process.Settings.Seeds, a.Membership, clients, process.Settings.Bounds), calls, a.Snapshot, a.Membership, queryIndexNodes(process, a.Membership, clients.PromptIndex))
	process.Ready.Store(true)
	return nil
}

// queryIndexNodes asks all serving index nodes at once, each with a short timeout. Two hold each
// entry: the higher count is taken.
func queryIndexNodes(process *daemon.Process, view func() clustermembership.View, node func(addr string) wire.PromptIndex) HotEntriesFunc {
	return func(ctx context.Context, service string) []*wire.HotPrefix {
		ctx, end := context.WithTimeout(ctx, process.Settings.Bounds.Heal(hotEntriesTimeoutRatio))
		defer end()
		nodes := promptindex.ServingNodes(view().Nodes)
		responses := make(chan *wire.HottestResponse, len(nodes))
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Go(func() {
				if t, err := node(n.Addr).Hottest(ctx, &wire.HottestRequest{Service: service, Limit: hotEntriesLimit}); err == nil {
					responses <- t
				}
			})
		}
		wg.Wait()
		close(responses)
		var all []*wire.HottestResponse
		for t := range responses {
			all = append(all, t)
		}
		return promptindex.MergeHot(all)
	}
}
