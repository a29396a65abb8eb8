package nodeagent

import (
	"sort"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// unchangedResponse returns the response of a shard member which states that its disk has no configuration newer than
// the known version.
func unchangedResponse() *wire.WatchResponse {
	return &wire.WatchResponse{Outcome: wire.OutcomeUnchanged}
}

// updatedResponse returns the response of a shard member with a configuration of a version. If nothingNewer is true,
// the member also states that its disk has no newer configuration than this one.
func updatedResponse(version uint64, nothingNewer bool) *wire.WatchResponse {
	return &wire.WatchResponse{Outcome: wire.OutcomeUpdated, NothingNewer: nothingNewer, Document: &wire.Document{Version: version, Body: []byte("x")}}
}

// receivedResponse has the arguments of one call of FreshnessProof.HandleResponse.
type receivedResponse struct {
	member       string
	knownVersion uint64
	requestedAt  time.Duration
	response     *wire.WatchResponse
}

// everyOrder calls check with each permutation of responses, and returns the number of permutations.
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

// Applies six responses of shard members in every order. A configuration must come into use exactly when two members
// have stated that they have no newer one, the proof must reach exactly to the second latest of the members' request
// times, and the version in use must not decrease.
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
			var requestTimes []time.Duration
			for _, attestedAt := range attested[inUse] {
				requestTimes = append(requestTimes, attestedAt)
			}
			sort.Slice(requestTimes, func(i, j int) bool { return requestTimes[i] > requestTimes[j] })
			if proof.Document().Version != inUse || proof.FreshUntil() != requestTimes[1] {
				t.Fatalf("order of responses %v: got configuration version %d proved fresh until %d, want version %d proved fresh until %d", order, proof.Document().Version, proof.FreshUntil(), inUse, requestTimes[1])
			}
		}
		if proof.Document().Version == 2 {
			adopted++
		}
	})
	if orders != 720 || adopted < orders/2 {
		t.Fatalf("got %d tested orders of responses, %d of which ended with the newer configuration in use; want 720 orders, and at least 360 that end with it", orders, adopted)
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
		t.Fatalf("after statements of a single shard member that it has no newer configuration: got configuration in use %v, proved fresh until %d; want no configuration and 0", proof.Document(), proof.FreshUntil())
	}
}
