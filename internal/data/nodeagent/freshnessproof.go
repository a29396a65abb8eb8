package nodeagent

import (
	"time"

	"pebbleloom/internal/wire"
)

// FreshnessProof proves by quorum that, up to some time, no configuration newer than the one in use had been acknowledged
// as committed. An acknowledged configuration is synced to the disks of two of the three members of the control state
// shard that stores it. If two of the three members attest, in responses to requests sent at time t or later, that their
// disks have no newer configuration, then none was acknowledged before t. A newer configuration replaces the one in use
// as soon as two members attest it in the same manner. Until then the old one stays in use, as long as its own proof is
// recent enough.
type FreshnessProof struct{ current, next attestedConfig }

// attestedConfig is a configuration and the statements of shard members that their disks have no newer one.
type attestedConfig struct {
	// document is the configuration as it is stored in the control state; nil if there is none.
	document *wire.Document
	// attestations has the latest statement of each shard member that its disk has no newer configuration, by the name of
	// the member.
	attestations map[string]attestation
}

// attestation is the statement of one control state shard member that its disk has no newer configuration.
type attestation struct {
	// requestedAt is the time at which the node agent sent the request that the member answered with the statement. The
	// member made the statement later than that.
	requestedAt time.Duration
	// incarnation is the incarnation of the shard member that made the statement.
	incarnation string
	// acceptedIncarnations has the incarnations of the other shard members that the member that made the statement
	// regards as valid.
	acceptedIncarnations []*wire.KnownIncarnation
}

// accepts reports whether the shard member that made the statement regards an incarnation of another member as valid.
// This is also the case if it knows no incarnation of the other member.
func (a attestation) accepts(member, incarnation string) bool {
	for _, known := range a.acceptedIncarnations {
		if known.Name == member {
			return known.Incarnation == incarnation
		}
	}
	return true
}

// NewFreshnessProof returns a proof that has no configuration and no statements of shard members yet.
//
// Example: p := nodeagent.NewFreshnessProof()
func NewFreshnessProof() *FreshnessProof {
	return &FreshnessProof{current: attestedConfig{attestations: map[string]attestation{}}}
}

// LatestVersion returns the newest version of the configuration that any shard member has sent, whether or not it is
// in use yet. The next request for the configuration sends it as the known version.
//
// Example: request.KnownVersion = p.LatestVersion()
func (p *FreshnessProof) LatestVersion() uint64 {
	return max(p.current.document.GetVersion(), p.next.document.GetVersion())
}

// HandleResponse applies the response of a shard member to a request for a configuration newer than knownVersion,
// which was sent at requestedAt. It reports whether the configuration in use has changed.
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

// attest records the statement of a shard member that it has no newer configuration, unless its response to a later
// request was recorded before: responses may arrive out of order.
func (c *attestedConfig) attest(member string, requestedAt time.Duration, response *wire.WatchResponse) {
	if requestedAt > c.attestations[member].requestedAt {
		c.attestations[member] = attestation{requestedAt, response.Incarnation, response.KnownIncarnations}
	}
}

// freshUntil returns the latest time t for which two shard members have stated, in response to requests sent at t or
// later, that they have no newer configuration. It returns zero if there are no two such members. Each of the two must
// regard the other's incarnation as valid, because a member whose name another machine has taken over must not count.
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

// FreshUntil returns the time up to which no configuration newer than the one in use had been acknowledged as
// committed; zero if this is not proved for any time.
//
// Example: if now-p.FreshUntil() > bound { reject() }
func (p *FreshnessProof) FreshUntil() time.Duration { return p.current.freshUntil() }

// Document returns the configuration document in use; nil if there is none.
//
// Example: config, err := serviceconfig.Decode(p.Document().Body)
func (p *FreshnessProof) Document() *wire.Document { return p.current.document }
