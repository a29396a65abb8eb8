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

// hotEntriesTimeoutRatio is the common timeout of the concurrent queries to all index nodes, as a fraction of
// the recovery time bound Bounds.Recovery.
const hotEntriesTimeoutRatio = 1.0 / 48

// StartProcess starts the index and placement process of a core machine: a cluster member in the index
// role, an index node, and a Controller. It returns an error of kind errs.BadInput if the settings have no
// site section.
//
// Example: err := controllers.StartProcess(process, codec, calls)
func StartProcess(process *daemon.Process, codec backend.Codec, workerClient backend.Client) error {
	site := process.Settings.Site
	if site == nil {
		return errs.New(errs.BadInput, "index and placement process: settings have no site section; add one with the site's ports and bounds")
	}
	process.Settings.Listen = site.Port(site.IP, settings.PortIndex)
	member, err := agent.Start(process, codec, clustermembership.RolePromptIndex)
	if err != nil {
		return errs.Wrap(err, "agent")
	}
	index, err := promptindex.StartWithCacheEvents(process, workerClient, member.Snapshot)
	if err != nil {
		return errs.Wrap(err, "index")
	}
	clients := daemon.NewClients(process)
	mux := http.NewServeMux()
	mux.Handle(wire.MembershipPathPrefix, member.Handler())
	mux.Handle(wire.PromptIndexPathPrefix, index.Handler())
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	store := controlclient.NewGroupClient(process.Settings.Seeds, member.Membership, clients, process.Settings.Bounds)
	hotEntries := queryIndexNodes(process, member.Membership, clients.PromptIndex)
	Start(process, store, workerClient, member.Snapshot, member.Membership, hotEntries)
	process.Ready.Store(true)
	return nil
}

// queryIndexNodes returns a function that queries all serving index nodes concurrently, with a common timeout, for the
// most frequently used prompt prefixes of a service. Two index nodes hold each prefix; the higher of the hotness values
// that they return is used.
func queryIndexNodes(process *daemon.Process, membership func() clustermembership.View, client func(addr string) wire.PromptIndex) HotEntriesFunc {
	return func(ctx context.Context, service string) []*wire.HotPrefix {
		ctx, cancel := context.WithTimeout(ctx, process.Settings.Bounds.Recovery(hotEntriesTimeoutRatio))
		defer cancel()
		nodes := promptindex.ServingNodes(membership().Nodes)
		responses := make(chan *wire.HottestResponse, len(nodes))
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Go(func() {
				if response, err := client(n.Addr).Hottest(ctx, &wire.HottestRequest{Service: service, Limit: hotEntriesLimit}); err == nil {
					responses <- response
				}
			})
		}
		wg.Wait()
		close(responses)
		var all []*wire.HottestResponse
		for response := range responses {
			all = append(all, response)
		}
		return promptindex.MergeHotPrefixes(all)
	}
}
