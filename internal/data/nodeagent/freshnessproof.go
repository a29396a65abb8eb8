package nodeagent

import (
	"time"

	"pebbleloom/internal/wire"
)

// FreshnessProof proves by quorum up to which instant no newer configuration had been acknowledged. An
// acknowledged configuration is synced on two of the three members of its shard; so once two of the three
// have attested, after an instant, that their disks have nothing newer, nothing newer was acknowledged
// before it. A newer configuration is taken into use as soon as two members attest it as well. Until then
// the old one is used as long as its own proof is within the bound.
type FreshnessProof struct{ current, next attestedConfig }

// attestedConfig is a configuration with the members that attest it.
type attestedConfig struct {
	document     *wire.Document         // nil: none
	attestations map[string]attestation // by member
}

// attestation is one member's statement that its disk has nothing newer.
type attestation struct {
	requestedAt          time.Duration // when the request was sent: the statement is younger
	incarnation          string        // of the member
	acceptedIncarnations []*wire.KnownIncarnation
}

// accepts reports whether a member accepts another member's incarnation.
func (a attestation) accepts(member, incarnation string) bool {
	for _, known := range a.acceptedIncarnations {
		if known.Name == member {
			return known.Incarnation == incarnation
		}
	}
	return true
}

// NewFreshnessProof makes a proof without a configuration.
//
// Example: p := nodeagent.NewFreshnessProof()
func NewFreshnessProof() *FreshnessProof {
	return &FreshnessProof{current: attestedConfig{attestations: map[string]attestation{}}}
}

// LatestVersion is the newest version received, in use already or not; the next request carries it.
//
// Example: request.KnownVersion = p.LatestVersion()
func (p *FreshnessProof) LatestVersion() uint64 {
	return max(p.current.document.GetVersion(), p.next.document.GetVersion())
}

// HandleResponse applies a member's response to a request that was sent at an instant with the version
// known then. It reports whether the configuration in use has changed.
//
// Example: changed := p.HandleResponse("core-1", 7, requestedAt, response)
func (p *FreshnessProof) HandleResponse(member string, knownVersion uint64, requestedAt time.Duration, response *wire.WatchResponse) bool {
	latest := &p.current
	if p.next.document != nil {
		latest = &p.next
	}
	switch response.Outcome {
	case wire.OutcomeUpdated:
		if response.Document.GetVersion() > p.LatestVersion() {
			p.next = attestedConfig{response.Document, map[string]attestation{}}
			latest = &p.next
		}
		if response.NothingNewer && response.Document.GetVersion() == latest.document.GetVersion() {
			latest.attest(member, requestedAt, response)
		}
	case wire.OutcomeUnchanged:
		if knownVersion == latest.document.GetVersion() {
			latest.attest(member, requestedAt, response)
		}
	}
	if p.next.document != nil && p.next.freshUntil() > 0 {
		p.current, p.next = p.next, attestedConfig{}
		return true
	}
	return false
}

// attest records a member's statement, unless a younger one is known: responses may overtake each other.
func (c *attestedConfig) attest(member string, requestedAt time.Duration, response *wire.WatchResponse) {
	if requestedAt > c.attestations[member].requestedAt {
		c.attestations[member] = attestation{requestedAt, response.Incarnation, response.KnownIncarnations}
	}
}

// freshUntil is the earlier request of the best two of three members that accept each other: a machine
// whose name was taken over attests nothing. It is zero without two such members.
func (c *attestedConfig) freshUntil() (latest time.Duration) {
	for nameA, a := range c.attestations {
		for nameB, b := range c.attestations {
			if nameA < nameB && a.accepts(nameB, b.incarnation) && b.accepts(nameA, a.incarnation) {
				latest = max(latest, min(a.requestedAt, b.requestedAt))
			}
		}
	}
	return latest
}

// FreshUntil is the instant up to which nothing newer than the configuration in use had been acknowledged;
// zero without a proof.
//
// Example: if now-p.FreshUntil() > bound { reject() }
func (p *FreshnessProof) FreshUntil() time.Duration { return p.current.freshUntil() }

// Document is the configuration document in use; nil if there is none.
//
// Example: config, err := serviceconfig.Decode(p.Document().Body)
func (p *FreshnessProof) Document() *wire.Document { return p.current.document }
