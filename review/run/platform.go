package main

import (
	"encoding/json"
	"net"
	"net/http"
)

// instance is an entry of the platform's worker list.
type instance struct {
	ID      string           `json:"instanceId"`
	Service string           `json:"targetService"`
	Address string           `json:"address"`
	Zone    string           `json:"zone"`
	Version string           `json:"configVersion"`
	Slots   int              `json:"slots"`
	State   string           `json:"state"`
	Cold    int              `json:"coldRemainingMs"`
	Stage   string           `json:"stage"`
	Models  []map[string]any `json:"models"`
}

// servePlatform serves the platform's worker list, on one page.
func servePlatform(address string, list func() []instance) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": list(), "nextPageToken": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}
