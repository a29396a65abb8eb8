package placementcontroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// Limits of the queries to other nodes.
const (
	maxConcurrentQueries = 16   // maximum number of calls in flight at the same time in one round of queries
	hotEntriesLimit      = 1000 // maximum number of hot entries requested from each node of the prompt index
)

// usage is the sum of the recent measurements of all proxies.
type usage struct {
	links             []*wire.LinkThroughput // fetch throughput, by class of links
	succeeded, failed map[string]float64     // numbers of recent request attempts, by worker name
}

// queryRole calls all nodes of a role concurrently, with a common timeout, and passes their responses to
// handle one after the other. Nodes that fail or do not respond in time are skipped.
func queryRole[T any](c *Controller, role string, call func(ctx context.Context, addr string) (T, error), handle func(T)) {
	ctx, cancel := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Recovery(queryTimeoutRatio))
	defer cancel()
	nodes := c.members.View().WithRole(role)
	responses := make(chan T, len(nodes))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for _, node := range nodes {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if response, err := call(ctx, node.Addr); err == nil {
				responses <- response
			}
		})
	}
	wg.Wait()
	close(responses)
	for response := range responses {
		handle(response)
	}
}

// collectUsage returns the sum of the measurements that the node agents report for their proxies.
func (c *Controller) collectUsage() usage {
	total := usage{succeeded: map[string]float64{}, failed: map[string]float64{}}
	byClass := map[string]*wire.LinkThroughput{}
	call := func(ctx context.Context, addr string) (*wire.FeedResponse, error) {
		return c.clients.NodeAgent(addr).Feed(ctx, &wire.FeedRequest{})
	}
	queryRole(c, clustermembership.RoleNodeAgent, call, func(response *wire.FeedResponse) {
		for _, link := range response.Links {
			sum := byClass[link.Class]
			if sum == nil {
				sum = &wire.LinkThroughput{Class: link.Class}
				byClass[link.Class] = sum
				total.links = append(total.links, sum)
			}
			sum.Tokens += link.Tokens
			sum.ElapsedNs += link.ElapsedNs
		}
		for _, worker := range response.Workers {
			total.succeeded[worker.Name] += worker.Successes
			total.failed[worker.Name] += worker.Failures
		}
	})
	return total
}

// medianWallClock returns the median of the core machines' wall clocks, or the zero time if no majority of
// them responds. With the median, a wrong clock on a single machine has no effect.
func (c *Controller) medianWallClock() time.Time {
	var clocks []int64
	call := func(ctx context.Context, addr string) (*wire.TimeResponse, error) {
		return c.clients.ControlNode(addr).Time(ctx, &wire.TimeRequest{})
	}
	queryRole(c, clustermembership.RoleControlNode, call, func(response *wire.TimeResponse) {
		clocks = append(clocks, response.WallNs)
	})
	return majorityMedian(clocks, len(c.process.Settings.Core))
}

// majorityMedian returns the median of clock readings in Unix nanoseconds, or the zero time if there are
// readings from no more than half of all machines.
func majorityMedian(clocks []int64, machines int) time.Time {
	if 2*len(clocks) <= machines {
		return time.Time{}
	}
	slices.Sort(clocks)
	return time.Unix(0, clocks[(len(clocks)-1)/2])
}

// hotEntries returns a service's hottest entries, merged from all nodes of the prompt index. Two nodes count
// the accesses to each entry, and the higher count is used.
func (c *Controller) hotEntries(service string) []*wire.HotPrefix {
	var all []*wire.HottestResponse
	call := func(ctx context.Context, addr string) (*wire.HottestResponse, error) {
		return c.clients.PromptIndex(addr).Hottest(ctx, &wire.HottestRequest{Service: service, Limit: hotEntriesLimit})
	}
	queryRole(c, clustermembership.RolePromptIndex, call, func(response *wire.HottestResponse) {
		all = append(all, response)
	})
	return promptindex.MergeHotPrefixes(all)
}
