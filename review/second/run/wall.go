package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// frozen is how long an edge machine is frozen. The site files freeze machines for 3.5 s and more.
	frozen = 2600 * time.Millisecond
	// configApply is configApplyMs. Only requests that are sent later than that after the acknowledgement count here.
	configApply = 2000 * time.Millisecond
	// otherClients is how many clients of the other tenant keep a connection to the edge machine. They send their requests at
	// even intervals of otherPause.
	otherClients = 24
	otherPause   = 20 * time.Millisecond
	wallRounds   = 3
)

// wallRound is one round of playWall.
type wallRound struct {
	*played
	number  int
	late    map[string]bool // requests of the other tenant that were sent later than configApply after the acknowledgement
	clients []*http.Transport
}

// playWall has a tenant's requests make parts of a prompt. Then the tenant is isolated while an edge machine is frozen, and
// another tenant's requests with the same parts are sent to that machine. Without the disruption the machine isn't frozen.
// After each round the tenant isn't isolated any more, and its requests make the parts again.
func playWall(p *played) (bool, error) {
	w := &wallRound{played: p, late: map[string]bool{}}
	for range otherClients {
		client := &http.Transport{DisableCompression: true}
		defer client.CloseIdleConnections()
		w.clients = append(w.clients, client)
	}
	version := uint64(5)
	for w.number = range wallRounds {
		if err := w.makeParts(); err != nil {
			return false, err
		}
		if err := w.isolate(version); err != nil {
			return false, err
		}
		if err := p.putConfig(p.cores, version+2, siteConfig(version+4, 16384, grownRoutes, false), 4*time.Second); err != nil {
			return false, err
		}
		version += 4
		time.Sleep(4 * time.Second) // the machine that was frozen is in touch again
	}
	return w.judge(), nil
}

func (w *wallRound) prompt(last int) string {
	return fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", w.number<<16|last)
}

func (w *wallRound) id(number int) string { return fmt.Sprintf("%08x%08x", 0x3000+w.number, number) }

// makeParts sends requests in calm time: of kaje80 first, which make the shared parts, and then one of each client of the
// other tenant.
func (w *wallRound) makeParts() error {
	for i := range 3 + otherClients {
		r := request{id: w.id(i), edge: w.frontend(0), body: 1000, header: w.prompt(i), within: 8 * time.Second}
		client := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
		if i >= 3 {
			r.key, client = otherKey, w.clients[i-3]
		}
		status, _, err := r.sendOn(client)
		w.record.add("round %d, calm: client sent %s: status %d, error %v", w.number, r.id, status, err)
		if err != nil || status != 200 {
			return fmt.Errorf("a request in calm time wasn't served: status %d, error %v", status, err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// isolate freezes the edge machine, has the operator isolate kaje80, and sends the other tenant's requests.
func (w *wallRound) isolate(base uint64) error {
	machine := w.processNamed("edge-0-edge")
	if w.trouble {
		machine.signal(syscall.SIGSTOP)
		w.record.add("edge-0 is frozen")
		time.AfterFunc(frozen, func() {
			machine.signal(syscall.SIGCONT)
			w.record.add("edge-0 wakes")
		})
	}
	if err := w.putConfig(w.cores, base, siteConfig(base+2, 16384, grownRoutes, true), 2*time.Second); err != nil {
		return err
	}
	acknowledged := time.Now()
	time.Sleep(configApply + 20*time.Millisecond)
	var wait sync.WaitGroup
	for i, client := range w.clients {
		r := request{id: w.id(0x100 + i), edge: w.frontend(0), body: 1000, header: w.prompt(0x100 + i), key: otherKey, within: 8 * time.Second}
		after := time.Since(acknowledged)
		w.late[r.id] = after > configApply
		w.record.add("client of %s sends %s, %v after the acknowledgement of version %d, which isolates kaje80", otherTenant, r.id,
			after.Round(time.Millisecond), base+2)
		wait.Go(func() {
			status, _, err := r.sendOn(client)
			w.record.add("client of %s sent %s: status %d, error %v", otherTenant, r.id, status, err)
		})
		time.Sleep(otherPause)
	}
	wait.Wait()
	return nil
}

// judge reports whether a request of the other tenant that was sent late used memory made by kaje80.
func (w *wallRound) judge() bool {
	used := 0
	for _, worker := range w.workers {
		worker.mu.Lock()
		for id, ran := range worker.runs {
			if w.late[id] && ran.tenant == otherTenant && slices.Contains(ran.usedOf, "kaje80") {
				used++
			}
		}
		worker.mu.Unlock()
	}
	w.record.add("%d of %d requests of %s that were sent later than configApplyMs after kaje80 was isolated used memory made by kaje80",
		used, len(w.late), otherTenant)
	return used > 0
}
