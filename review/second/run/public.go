package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	otherPrefix    = "/pufi791/" // path prefix of the second route, which is never public
	publicRequests = 20
)

// publicConfig returns a configuration with two routes to the same service. The tenant kaje80 is isolated. isPublic says
// whether the first route is public.
func publicConfig(version uint64, isPublic bool) map[string]any {
	config := siteConfig(version, 16384, 0, true)
	first := config["routes"].([]any)[0].(map[string]any)
	second := map[string]any{}
	for name, value := range first {
		second[name] = value
	}
	second["name"], second["pathPrefix"] = "r-2", otherPrefix
	first["public"] = isPublic
	config["routes"] = []any{first, second}
	return config
}

// playPublic makes a route public while clients of an isolated tenant use it, which go on sending their key, as they know
// nothing of the change. Then requests of another tenant on the other route, which isn't public, have the same parts in
// their prompts. Without the disruption the version changes nothing but its number.
func playPublic(p *played) (bool, error) {
	if err := p.sendIsolated("before the change", 0x4000); err != nil {
		return false, err
	}
	if err := p.putConfig(p.cores, 5, publicConfig(7, p.trouble), 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // configApplyMs is 2 s, contactWindowMs 3 s
	if err := p.sendIsolated("after the change", 0x4100); err != nil {
		return false, err
	}
	var others []string
	for i := range publicRequests {
		r := request{id: fmt.Sprintf("%016x", 0x4200+i), edge: p.frontend(i % p.edges), body: 1000, header: publicPrompt(0x200 + i), key: otherKey,
			path: otherPrefix + "2f", within: 8 * time.Second}
		status, _, err := r.send()
		p.record.add("client of %s sent %s on the route that isn't public: status %d, error %v", otherTenant, r.id, status, err)
		if err != nil || status != 200 {
			return false, fmt.Errorf("a request of %s wasn't served: status %d, error %v", otherTenant, status, err)
		}
		others = append(others, r.id)
	}
	used := 0
	for _, w := range p.workers {
		w.mu.Lock()
		for _, id := range others {
			for _, madeBy := range w.runs[id].usedFrom {
				if isIsolatedRequest(madeBy) {
					used++
					break
				}
			}
		}
		w.mu.Unlock()
	}
	p.record.add("%d of %d requests of %s used memory that requests with the key of the isolated tenant kaje80 made", used, len(others), otherTenant)
	return used > 0, nil
}

// sendIsolated sends requests with the key of kaje80 on the first route, in turn to all edge machines.
func (p *played) sendIsolated(when string, first int) error {
	for i := range publicRequests {
		r := request{id: fmt.Sprintf("%016x", first+i), edge: p.frontend(i % p.edges), body: 1000, header: publicPrompt(first + i), within: 8 * time.Second}
		status, _, err := r.send()
		p.record.add("%s: client of kaje80 sent %s: status %d, error %v", when, r.id, status, err)
		if err != nil || status != 200 {
			return fmt.Errorf("a request of kaje80 wasn't served: status %d, error %v", status, err)
		}
	}
	return nil
}

func publicPrompt(last int) string { return fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", last) }

// isIsolatedRequest reports whether a request was sent with the key of kaje80 by playPublic.
func isIsolatedRequest(id string) bool {
	var number int
	_, err := fmt.Sscanf(id, "%x", &number)
	return err == nil && (slices.Contains([]int{0x40, 0x41}, number>>8))
}
