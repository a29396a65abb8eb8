package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	revokeTimeout = 5 * time.Second
	probes        = 20
	probeEvery    = 200 * time.Millisecond
)

// playLastTenant takes away the keys of every tenant by removing the tenants, and sends requests with these keys later
// than revokeTimeoutMs after the acknowledgement. Without the trouble, one tenant is left.
func playLastTenant(s *site, trouble bool) (bool, error) {
	if err := s.startSite(3, 2); err != nil {
		return false, err
	}
	w, err := startWorker(s, "worker-1", "i-1", "huvo11a", model)
	if err != nil {
		return false, err
	}
	list := []instance{w.instance()}
	if err := servePlatform(s.platform, func() []instance { return list }); err != nil {
		return false, err
	}
	operator := &operator{s, 3}
	if err := operator.send("replace", 0, planOf(1, false, "streaming")); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactWindow)
	if err := sendRounds(s, "before", "key-of-kaje80"); err != nil {
		return false, err
	}
	removed := []string{"kaje80"}
	if trouble {
		removed = append(removed, "fida11")
	}
	if err := operator.send("update", 1, fmt.Sprintf(`{"configVersion":2,"remove":{"tenants":["%s"]}}`, strings.Join(removed, `","`))); err != nil {
		return false, err
	}
	time.Sleep(revokeTimeout + configApply)
	if err := recordTenants(s); err != nil {
		return false, err
	}
	return probeRevoked(s, w), nil
}

// recordTenants records the tenants of the configuration that is read back.
func recordTenants(s *site) error {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + s.address("core-1", controlOffset) + "/pebbleloom/config/describe")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var plan struct {
		ConfigVersion int             `json:"configVersion"`
		Tenants       json.RawMessage `json:"tenants"`
	}
	if err := json.Unmarshal(body, &plan); err != nil {
		return err
	}
	s.record.line("operator: reads version %d, tenants %s", plan.ConfigVersion, plan.Tenants)
	return nil
}

// probeRevoked sends requests with the key that was taken away, in turn to the edge machines, and reports whether one ran.
func probeRevoked(s *site, w *worker) (broken bool) {
	for i := range probes {
		time.Sleep(probeEvery)
		edge := fmt.Sprintf("edge-%d", i%2+1)
		request := clientRequest{id: fmt.Sprintf("revoked-%d", i), key: "key-of-kaje80", path: "/lohu930/2f", deadline: requestDeadline, body: 1500}
		answer := request.send(s.address(edge, frontendOffset))
		w.mu.Lock()
		runs := w.runs[request.id]
		w.mu.Unlock()
		s.record.line("client: %s with key %s, taken away, to %s: %v; runs %d", request.id, request.key, edge, answer, runs)
		broken = broken || runs > 0
	}
	return broken
}
