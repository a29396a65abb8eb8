package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// claimIDBytes is the size of an at-most-once request ID, in bytes.
const claimIDBytes = 16

// claimID is the ID of an at-most-once request.
type claimID [claimIDBytes]byte

// claimTable records which caller claimed each at-most-once request ID. Claims are evicted by age, never
// by count: a flood of claims must not make an ID claimable again while its caller may still retry the
// request. Ages are measured on the shard's own clock, to which each leader adds the time that elapsed
// during its term. The clock stops while there is no leader, so claims are kept slightly longer. It advances
// only through log entries, so all members evict the same claims.
type claimTable struct {
	holders map[claimID]claimHolder
	order   []claimOrderEntry // eviction queue of claimed IDs, oldest claim first; may contain stale entries of released IDs
	age     uint64            // the shard's clock: the sum of the elapsed times in applied log entries, in nanoseconds
}

// claimHolder identifies the caller that claimed an at-most-once request ID by its nonce. claimedAge is the
// reading of the shard's clock at the time of the claim, in nanoseconds.
type claimHolder struct{ nonce, claimedAge uint64 }

// claimOrderEntry is an entry of the eviction queue of a claimTable: a request ID and the time of its claim on the
// shard's clock. It is stale if the ID was released, even if the ID was claimed again at a later time.
type claimOrderEntry struct {
	id         claimID
	claimedAge uint64
}

func newClaimTable() claimTable { return claimTable{holders: map[claimID]claimHolder{}} }

// advanceAge advances the shard's clock by the elapsed time and evicts the claims of request IDs that are older
// than the retention. Both durations are in nanoseconds.
func (c *claimTable) advanceAge(elapsed, retention uint64) {
	c.age += elapsed
	expired := 0
	for expired < len(c.order) && c.order[expired].claimedAge+retention <= c.age {
		if oldest := c.order[expired]; c.holders[oldest.id].claimedAge == oldest.claimedAge {
			delete(c.holders, oldest.id)
		}
		expired++
	}
	c.order = c.order[expired:]
	if len(c.order) > 2*maxClaims {
		c.order = slices.DeleteFunc(c.order, c.isStale)
	}
}

// isStale reports whether an entry of the eviction queue no longer belongs to a current claim: its request ID was
// released, or was claimed again at another time.
func (c *claimTable) isStale(entry claimOrderEntry) bool {
	holder, ok := c.holders[entry.id]
	return !ok || holder.claimedAge != entry.claimedAge
}

// claim grants an at-most-once request ID to the first caller that claims it. A claim repeated by the same caller
// is granted again, since the first response may have been lost. A request to release the ID succeeds only for the
// caller that holds it. full reports that the ID was not claimed because the table already holds maxClaims claims.
func (c *claimTable) claim(request *wire.Claim) (granted, full bool) {
	if len(request.Id) != claimIDBytes {
		return false, false
	}
	id := claimID(request.Id)
	holder, claimed := c.holders[id]
	isHolder := claimed && holder.nonce == request.Nonce
	switch {
	case request.Release:
		if isHolder {
			delete(c.holders, id) // the ID's entry in the eviction queue c.order becomes stale
		}
		return isHolder, false
	case claimed:
		return isHolder, false
	case len(c.holders) >= maxClaims:
		return false, true
	}
	c.insert(id, claimHolder{request.Nonce, c.age})
	return true, false
}

// insert records the claim of a request ID and appends it to the eviction queue as the newest one.
func (c *claimTable) insert(id claimID, holder claimHolder) {
	c.holders[id] = holder
	c.order = append(c.order, claimOrderEntry{id, holder.claimedAge})
}

// save returns the current claims of request IDs for a snapshot, oldest first.
func (c *claimTable) save() (claims []*wire.Claim) {
	for _, entry := range c.order {
		if holder, ok := c.holders[entry.id]; ok && holder.claimedAge == entry.claimedAge {
			claims = append(claims, &wire.Claim{Id: entry.id[:], Nonce: holder.nonce, AtNs: holder.claimedAge})
		}
	}
	return claims
}

// load restores the claims of request IDs from a snapshot; age is the shard's clock. In snapshots of releases that
// recorded no times, age and the times of all claims are 0, so that the full retention of each claim starts at the
// load.
func (c *claimTable) load(claims []*wire.Claim, age uint64) {
	c.age = age
	for _, saved := range claims {
		if len(saved.Id) == claimIDBytes {
			c.insert(claimID(saved.Id), claimHolder{saved.Nonce, saved.AtNs})
		}
	}
}

// elapsedInTerm returns the time since this leader last proposed claims of request IDs in the given term, 0 for
// the first such proposal, and starts the next interval. An interval that is lost with an uncommitted proposal or
// between two leaders only slows the shard's clock, so that claims are kept longer.
func (s *shard) elapsedInTerm(term uint64) (elapsed time.Duration) {
	now := s.clock.Now()
	if s.ageRecordedTerm == term {
		elapsed = max(0, now-s.ageRecordedAt)
	}
	s.ageRecordedTerm, s.ageRecordedAt = term, now
	return elapsed
}
