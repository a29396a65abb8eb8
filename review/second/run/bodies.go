package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	calmUploads  = 26 // clients of one edge machine that send a body at the same time
	burstUploads = 44 // the same during a burst of 1.7 times the traffic
	bursts       = 5
	bodyBytes    = 4 << 20 // maxBodyBytes
)

// playBodies has clients send bodies in chunks, each as long as maxBodyBytes allows, in rounds with a pause between. In a
// burst there are 1.7 times as many clients.
func playBodies(p *played) (bool, error) {
	uploads := calmUploads
	if p.trouble {
		uploads = burstUploads
	}
	var served, failed, bystanders, bystandersCut atomic.Int64
	number := 0
	done := make(chan struct{})
	var others sync.WaitGroup
	for e := range p.edges {
		others.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				r := request{id: fmt.Sprintf("%08x%08x", 0x2100+e, i), edge: p.frontend(e), body: 17000, within: 8 * time.Second}
				status, _, err := r.send()
				if bystanders.Add(1); err != nil {
					bystandersCut.Add(1)
					p.record.add("ordinary client of edge %d sent %s: status %d, error %v", e, r.id, status, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for round := range bursts {
		var wait sync.WaitGroup
		for e := range p.edges {
			for range uploads {
				number++
				r := request{id: fmt.Sprintf("%016x", 0x2000+number), edge: p.frontend(e), body: bodyBytes, chunked: true, within: 8 * time.Second}
				wait.Go(func() {
					status, _, err := r.send()
					p.record.add("round %d: client sent %s (%d bytes in chunks) to edge %d: status %d, error %v", round, r.id, r.body, e, status, err)
					if err == nil && status == 200 {
						served.Add(1)
					} else {
						failed.Add(1)
					}
				})
			}
		}
		wait.Wait()
		time.Sleep(time.Second)
		if err := p.awaitReady(p.edges, 20*time.Second); err != nil {
			return false, err
		}
	}
	close(done)
	others.Wait()
	machines := 0
	for e := range p.edges {
		process := p.processNamed(fmt.Sprintf("edge-%d-edge", e))
		process.mu.Lock()
		if process.overLimit >= 3 {
			machines++
		}
		process.mu.Unlock()
	}
	p.record.add("bodies served %d, not served %d; ordinary requests %d, of them with no complete answer %d", served.Load(), failed.Load(),
		bystanders.Load(), bystandersCut.Load())
	p.record.add("edge machines whose process was over its memory three times: %d", machines)
	return machines >= 2, nil
}
