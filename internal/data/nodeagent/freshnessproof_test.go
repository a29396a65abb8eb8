package nodeagent

import (
	"sort"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

func unchangedResponse() *wire.WatchResponse {
	return &wire.WatchResponse{Outcome: wire.OutcomeUnchanged}
}
func updatedResponse(version uint64, nothingNewer bool) *wire.WatchResponse {
	return &wire.WatchResponse{Outcome: wire.OutcomeUpdated, NothingNewer: nothingNewer, Document: &wire.Document{Version: version, Body: []byte("x")}}
}

type receivedResponse struct {
	member       string
	knownVersion uint64
	requestedAt  time.Duration
	response     *wire.WatchResponse
}

func everyOrder(responses []receivedResponse, check func([]receivedResponse)) (n int) {
	var walk func(left, done []receivedResponse)
	walk = func(left, done []receivedResponse) {
		if len(left) == 0 {
			n++
			check(done)
			return
		}
		for i := range left {
			walk(append(append([]receivedResponse(nil), left[:i]...), left[i+1:]...), append(append([]receivedResponse(nil), done...), left[i]))
		}
	}
	walk(responses, nil)
	return n
}

// Every order of six responses: a configuration is in use only once two members attest it, its proof is never
// later than what two of them attested, and its version never decreases.
func TestEveryOrderOfResponses(t *testing.T) {
	responses := []receivedResponse{{"a", 1, 10, unchangedResponse()}, {"b", 1, 20, unchangedResponse()}, {"c", 1, 30, updatedResponse(2, true)}, {"a", 1, 25, updatedResponse(2, false)}, {"a", 2, 40, unchangedResponse()}, {"b", 1, 35, updatedResponse(2, true)}}
	adopted := 0
	orders := everyOrder(responses, func(order []receivedResponse) {
		proof := NewFreshnessProof()
		proof.HandleResponse("a", 0, 1, updatedResponse(1, true))
		proof.HandleResponse("b", 0, 2, updatedResponse(1, true))
		attested := map[uint64]map[string]time.Duration{1: {"a": 1, "b": 2}, 2: {}}
		seen := uint64(1)
		for _, received := range order {
			proof.HandleResponse(received.member, received.knownVersion, received.requestedAt, received.response)
			if received.response.Outcome == wire.OutcomeUpdated {
				seen = 2
				if received.response.NothingNewer {
					attested[2][received.member] = max(attested[2][received.member], received.requestedAt)
				}
			} else if received.knownVersion == seen {
				attested[seen][received.member] = max(attested[seen][received.member], received.requestedAt)
			}
			inUse := uint64(1)
			if len(attested[2]) >= 2 {
				inUse = 2
			}
			var instants []time.Duration
			for _, x := range attested[inUse] {
				instants = append(instants, x)
			}
			sort.Slice(instants, func(i, j int) bool { return instants[i] > instants[j] })
			if proof.Document().Version != inUse || proof.FreshUntil() != instants[1] {
				t.Fatalf("after %v: version %d with proof %d, want %d with %d", order, proof.Document().Version, proof.FreshUntil(), inUse, instants[1])
			}
		}
		if proof.Document().Version == 2 {
			adopted++
		}
	})
	if orders != 720 || adopted < orders/2 {
		t.Fatalf("%d orders, %d ended on the newer configuration", orders, adopted)
	}
}

func TestOneMemberIsNoProof(t *testing.T) {
	proof := NewFreshnessProof()
	proof.HandleResponse("a", 0, 1, updatedResponse(1, true))
	for i := range 5 {
		proof.HandleResponse("a", 1, time.Duration(10+i), unchangedResponse())
	}
	proof.HandleResponse("b", 1, 20, &wire.WatchResponse{Outcome: wire.OutcomeUnknown})
	if proof.FreshUntil() != 0 || proof.Document() != nil {
		t.Fatalf("one member's attestation counts as a quorum's: %d", proof.FreshUntil())
	}
}
