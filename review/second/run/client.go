package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	serviceName = "huvo11a"
	modelName   = "daka510000"
	hostName    = "ficu95.example"
	pathPrefix  = "/lohu930/"
	apiKey      = "i9n73hh2b9wu3fexd9dn"

	grownRoutes = 350 // routes without requests, by which the site's configuration grows (big_config)
)

// Tenants beside the first one, kaje80, whose key is apiKey.
const (
	otherTenant = "mofu12"
	otherKey    = "n2ctnfzs989anu6wsjnb"
)

// siteConfig returns a configuration with one streaming route and two tenants. The limits are the site's. There are
// idleRoutes further routes, which get no requests. isolated says whether the first tenant is isolated.
func siteConfig(version uint64, maxHeaderBytes, idleRoutes int, isolated bool) map[string]any {
	routes := []any{}
	for i := range idleRoutes {
		routes = append(routes, map[string]any{"name": fmt.Sprint("r-idle-", i), "hostname": hostName, "pathPrefix": fmt.Sprintf("/idle%d/", i),
			"routeType": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "targetService": serviceName, "maxAttempts": 2,
			"public": false, "sessionAffinity": true, "resumable": true, "targetGapMs": 250})
	}
	return map[string]any{
		"configVersion": version,
		"routes": append(routes, map[string]any{"name": "r-1", "hostname": hostName, "pathPrefix": pathPrefix, "routeType": "streaming", "timeoutMs": 8000,
			"targetLatencyMs": 400, "priority": 1, "targetService": serviceName, "maxAttempts": 2, "public": false, "sessionAffinity": true,
			"resumable": true, "targetGapMs": 250}),
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConnections": 630, "protocol": "h1", "tlsEnabled": false,
			"inferenceEngine": map[string]any{"slots": 128, "kvCapacityTokens": 319789, "kvTokenBytes": 18432, "linkMbps": 370000.0, "stride": 5,
				"maxConcurrency": 12, "models": []any{map[string]any{"name": modelName}}}}},
		"limits": map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "isolated": isolated},
			map[string]any{"name": otherTenant, "apiKeys": []string{otherKey}, "priority": 1, "isolated": false}},
	}
}

// zeros is an endless body of which only the length matters.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// request is one try of a client.
type request struct {
	id      string
	edge    string // address of the edge machine's frontend
	body    int64  // bytes, sent in chunks
	header  string // X-Prompt-Prefix, if it isn't the usual one
	key     string // key of the tenant, if it isn't apiKey
	path    string // path, if it isn't in the first route
	within  time.Duration
	chunked bool
}

// send sends a request on a new connection and returns the status, or an error if there was no complete answer.
func (r request) send() (int, string, error) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	return r.sendOn(transport)
}

// sendOn sends a request on a connection of a transport, which may be kept from an earlier request.
func (r request) sendOn(transport *http.Transport) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.within)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.edge+cmp.Or(r.path, pathPrefix+"2f"), io.LimitReader(zeros{}, r.body))
	if err != nil {
		return 0, "", err
	}
	if !r.chunked {
		out.ContentLength = r.body
	}
	out.Host = hostName
	out.Header.Set("X-Attempt-Id", r.id)
	out.Header.Set("X-Model", modelName)
	out.Header.Set("X-Token-Usage", "1460,80")
	prefix := "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	if r.header != "" {
		prefix = r.header
	}
	out.Header.Set("X-Prompt-Prefix", prefix)
	out.Header.Set("X-Deadline-Remaining", fmt.Sprint(r.within.Milliseconds()))
	out.Header.Set("Authorization", "Bearer "+cmp.Or(r.key, apiKey))
	response, err := transport.RoundTrip(out)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "", err
	}
	if response.StatusCode == 200 && (response.Header.Get("X-Server-Seal") != "seal-"+r.id || strings.Count(string(text), "data: "+r.id) != 3) {
		return 200, string(text), fmt.Errorf("wrong answer")
	}
	return response.StatusCode, string(text), nil
}
