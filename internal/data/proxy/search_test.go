package proxy

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/fleet"
)

// Size and fault rates of the randomized test TestSearchForAnswersGoneWrong.
const (
	searchSeeds    = 2                      // number of seeds, unless the environment variable POINT5_SEEDS sets another number
	searchClients  = 24                     // number of concurrent clients
	searchRequests = 30                     // number of requests that each client sends
	searchWorkers  = 3                      // number of workers
	searchConns    = 4                      // maximum number of connections from the proxy to each worker
	faultRatio     = 0.2                    // fraction of requests at which a worker injects a fault
	hangRatio      = 0.1                    // fraction of the injected faults that are hangs
	searchDeadline = 400 * time.Millisecond // deadline of each client request
)

// plannedFault returns the fault that a worker injects at a request, and its step. The result depends only on the
// seed, the worker and the request ID, so that a seed reproduces its faults.
func plannedFault(seed uint64, worker, id string) (step, fault, bool) {
	if id == "" {
		return 0, 0, false
	}
	h := seed
	for _, c := range worker + "/" + id {
		h = h*1099511628211 + uint64(c)
	}
	r := rand.New(rand.NewPCG(seed, h))
	if r.Float64() >= faultRatio {
		return 0, 0, false
	}
	s, f := headReceived+step(r.IntN(int(responseSent-headReceived)+1)), reset+fault(r.IntN(int(faultCount-reset)))
	if r.Float64() < hangRatio {
		f = hang
	}
	if s == halfBodySent && f > closeWrite { // the proxy can't detect wrong bytes within a body of the declared length
		s = halfHeadSent
	}
	return s, f, true
}

// Randomized test: many clients share few connections to workers that inject faults at random steps. Each response
// must carry the ID and body of its own request, requests that aren't idempotent must be executed at most once,
// and no connection may be reused after unsolicited bytes.
func TestSearchForAnswersGoneWrong(t *testing.T) {
	seeds := searchSeeds
	if n, err := strconv.Atoi(os.Getenv("POINT5_SEEDS")); err == nil {
		seeds = n
	}
	total := map[int]int{}
	for seed := range seeds {
		for status, n := range runSearch(t, uint64(seed)) {
			total[status] += n
		}
		if t.Failed() {
			t.Fatalf("random worker faults with seed %d: a request got a wrong response, was executed too often, or was sent on a connection after unsolicited bytes", seed)
		}
	}
	t.Logf("random worker faults: %d seeds with %d requests each; number of responses by status (0: incomplete or none): %v", seeds, searchClients*searchRequests, total)
	if total[200] < seeds*searchClients*searchRequests/3 {
		t.Errorf("random worker faults: got %d responses with status 200, want at least a third of %d requests; by status: %v", total[200], seeds*searchClients*searchRequests, total)
	}
}

func runSearch(t *testing.T, seed uint64) map[int]int {
	var faulty []*adversary
	var workers []fleet.Worker
	for i := range searchWorkers {
		name := "w" + strconv.Itoa(i)
		a := newAdversary(t, name, func(id string, _ int) (step, fault, bool) { return plannedFault(seed, name, id) })
		faulty, workers = append(faulty, a), append(workers, a.Worker)
	}
	site := newLoopbackSite(t, workers...)
	site.server.Snapshot().Plan.Services[0].MaxConns = searchConns
	var mu sync.Mutex
	byStatus := map[int]int{}
	var senders sync.WaitGroup
	for client := range searchClients {
		senders.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(client)))
			for n := range searchRequests {
				route := []string{"repeat", "once", "once", "resume"}[r.IntN(4)]
				id := fmt.Sprintf("s%d-c%d-n%d", seed, client, n)
				response := site.send(route, id, searchDeadline)
				runs := 0
				for _, faultyWorker := range faulty {
					runs += faultyWorker.executions(id)
				}
				checkReply(t, route, id, response, runs)
				mu.Lock()
				if response.err != nil {
					response.status = 0
				}
				byStatus[response.status]++
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	for _, faultyWorker := range faulty {
		if faultyWorker.mu.Lock(); faultyWorker.requestsAfterUnsolicited > 0 {
			t.Errorf("worker %s: %d requests came on connections on which it had sent unsolicited bytes, want 0", faultyWorker.ID, faultyWorker.requestsAfterUnsolicited)
		}
		faultyWorker.mu.Unlock()
	}
	return byStatus
}
