// Package nodeagent is the agent on each edge machine: it follows the control state, proves that the
// configuration in use is fresh, watches the workers, and sends updates to the processes beside it
// over loopback.
package nodeagent

import (
	"time"

	"pebbleloom/internal/wire"
)

// FreshnessProof proves by majority that no newer configuration was acknowledged. An acknowledged
// configuration is synced on two of the three members; so once two of the three have stated, after an
// instant, that their disks hold nothing newer, nothing newer was acknowledged before it. A newer
// configuration is taken into use as soon as two members attest it as well. Until then the old one is
// used as long as its own proof holds: that is what its bound is for.
type FreshnessProof struct{ current, next candidate }

// candidate is a configuration with the members that attest it.
type candidate struct {
	document     *wire.Document
	attestations map[string]attestation
}

// attestation is one member's statement: when it was asked, which incarnation answered, and which
// incarnations of the others it accepts.
type attestation struct {
	asked                time.Duration
	incarnation          string
	acceptedIncarnations []*wire.KnownIncarnation
}

// accepts reports whether another member's incarnation is accepted.
func (v attestation) accepts(name, inc string) bool {
	for _, k := range v.acceptedIncarnations {
		if k.Name == name {
			return k.Incarnation == inc
		}
	}
	return true
}

// NewFreshnessProof starts without a configuration.
//
// Example: f := nodeagent.NewFreshnessProof()
func NewFreshnessProof() *FreshnessProof {
	return &FreshnessProof{current: candidate{attestations: map[string]attestation{}}}
}

// LatestVersion is the newest version received, in use already or not; the next request carries it.
//
// Example: request.Have = f.Version()
func (f *FreshnessProof) LatestVersion() uint64 {
	return max(f.current.document.GetVersion(), f.next.document.GetVersion())
}

// HandleResponse takes a member's response to a request that was sent at the instant asked with
// version have. It reports whether the configuration in use has changed.
//
// Example: changed := f.HandleResponse("core-1", 7, askedAt, response)
func (f *FreshnessProof) HandleResponse(member string, have uint64, asked time.Duration, t *wire.WatchResponse) bool {
	top := &f.current
	if f.next.document != nil {
		top = &f.next
	}
	switch t.Outcome {
	case wire.OutcomeUpdated:
		if t.Document.GetVersion() > f.LatestVersion() {
			f.next = candidate{t.Document, map[string]attestation{}}
			top = &f.next
		}
		if t.NothingNewer && t.Document.GetVersion() == top.document.GetVersion() {
			top.add(member, asked, t)
		}
	case "same":
		if have == top.document.GetVersion() {
			top.add(member, asked, t)
		}
	}
	if f.next.document != nil && f.provenUntil(f.next) > 0 {
		f.current, f.next = f.next, candidate{}
		return true
	}
	return false
}

func (v *candidate) add(member string, asked time.Duration, t *wire.WatchResponse) {
	if asked > v.attestations[member].asked {
		v.attestations[member] = attestation{asked, t.Incarnation, t.KnownIncarnations}
	}
}

// provenUntil is the earlier request of the best two of three members that accept each other: a machine
// whose name was taken over attests nothing.
func (f *FreshnessProof) provenUntil(v candidate) time.Duration {
	best := time.Duration(0)
	for m, x := range v.attestations {
		for n, y := range v.attestations {
			if m < n && x.accepts(n, y.incarnation) && y.accepts(m, x.incarnation) {
				best = max(best, min(x.asked, y.asked))
			}
		}
	}
	return best
}

// FreshUntil is the instant up to which nothing newer than the configuration in use had been acknowledged;
// zero without a proof.
//
// Example: if now-f.Proof() > bound { reject() }
func (f *FreshnessProof) FreshUntil() time.Duration { return f.provenUntil(f.current) }

// Document is the configuration document in use.
//
// Example: config, err := serviceconfig.Read(f.Document().Body)
func (f *FreshnessProof) Document() *wire.Document { return f.current.document }
