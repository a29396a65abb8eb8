// Command stand plays the cases of the second review on the project's own programs: stand CASE RECORD. It starts them as
// separate processes, and stand-ins for the platform, the workers, the operator and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	held   = 0
	broken = 1
	cantDo = 2
)

// played is a site in service, with the stand-ins.
type played struct {
	*site
	cores, edges int
	workers      []*worker
	trouble      bool
}

// caseFunc plays a case on a site in service. It returns whether the rule was broken.
type caseFunc func(p *played) (bool, error)

var cases = map[string]struct {
	cores, edges, workers int
	config                map[string]any
	play                  caseFunc
}{
	"public": {4, 2, 2, publicConfig(5, false), playPublic},
	"bodies": {4, 2, 4, siteConfig(5, 16384, 0, false), playBodies},
	"wall":   {4, 2, 2, siteConfig(5, 16384, grownRoutes, false), playWall},
}

func main() { os.Exit(playNamed()) }

func playNamed() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return cantDo
	}
	chosen, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return cantDo
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantDo
	}
	defer record.file.Close()
	site, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantDo
	}
	defer site.stop()
	p := &played{site: site, cores: chosen.cores, edges: chosen.edges, trouble: os.Getenv("TROUBLE") != "0"}
	verdict, err := p.playCase(chosen.workers, chosen.config, chosen.play)
	for _, process := range site.processes {
		process.mu.Lock()
		record.add("process %s: private memory at most %d MB of %d, over its limit %d times", process.name, process.peakMB, process.limitMB, process.overLimit)
		process.mu.Unlock()
	}
	switch {
	case err != nil:
		record.add("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return cantDo
	case verdict:
		record.add("BROKEN")
		fmt.Println("broken")
		return broken
	}
	record.add("HELD")
	fmt.Println("held")
	return held
}

func (p *played) playCase(workers int, config map[string]any, play caseFunc) (bool, error) {
	list := &platform{addr: fmt.Sprintf("%s:%d", p.address(platformMachine), portPlatform)}
	for i := range workers {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), zone: zoneOf(i), slots: 128, record: p.record}
		if err := w.serve(p.address(workerMachine(i))); err != nil {
			return false, err
		}
		p.workers = append(p.workers, w)
	}
	list.workers = p.workers
	if err := list.serve(); err != nil {
		return false, err
	}
	if err := p.start(p.cores, p.edges); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the operator sends the first configuration before traffic starts
	if err := p.putConfig(p.cores, 0, config, 10*time.Second); err != nil {
		return false, err
	}
	if err := p.endFirstStart(); err != nil {
		return false, err
	}
	if err := p.awaitReady(p.edges, 10*time.Second); err != nil {
		return false, err
	}
	p.record.add("all edge machines are ready")
	time.Sleep(4 * time.Second) // all machines are in touch from contactWindowMs on
	return play(p)
}

func (p *played) frontend(i int) string {
	return fmt.Sprintf("%s:%d", p.address(edge(i)), portFrontend)
}
