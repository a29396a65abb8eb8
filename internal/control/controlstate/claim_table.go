package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// claimIDBytes is the size of the id of an at-most-once request.
const claimIDBytes = 16

type claimID [claimIDBytes]byte

// claimTable records which caller claimed each id of an at-most-once request. Claims are forgotten by
// age, never by count: a flood of claims can't make an id claimable again that its caller may still
// repeat. The age is the shard's own: each leader adds the time that it has seen pass, so the age
// stands still between leaders and claims are kept a little longer. It advances by log entries, so
// every member forgets the same claims.
type claimTable struct {
	holders map[claimID]claimHolder
	order   []claimOrderEntry // the oldest first; may still contain ids that were released
	age     uint64            // of the shard, in nanoseconds
}

// claimHolder identifies who holds an id, and the shard's age when it was claimed, in nanoseconds.
type claimHolder struct{ nonce, claimedAge uint64 }

// claimOrderEntry is an id's position in the order of age. It is stale if the id was released, or
// released and claimed again at another age.
type claimOrderEntry struct {
	id         claimID
	claimedAge uint64
}

func newClaimTable() claimTable { return claimTable{holders: map[claimID]claimHolder{}} }

// advanceAge adds to the shard's age and forgets the claims that are older than the retention. Both are
// in nanoseconds.
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

func (c *claimTable) isStale(entry claimOrderEntry) bool {
	holder, ok := c.holders[entry.id]
	return !ok || holder.claimedAge != entry.claimedAge
}

// claim grants an id to the first caller that claims it. A claim repeated by the same caller is granted
// again, since the first response may have been lost; the holder may release its claim. If the table is
// full of claims that are too young to be forgotten, full is true and nothing was claimed.
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
			delete(c.holders, id) // its entry in the order becomes stale
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

func (c *claimTable) insert(id claimID, holder claimHolder) {
	c.holders[id] = holder
	c.order = append(c.order, claimOrderEntry{id, holder.claimedAge})
}

// save returns the claims in the order of their age, as a snapshot keeps them.
func (c *claimTable) save() (claims []*wire.Claim) {
	for _, entry := range c.order {
		if holder, ok := c.holders[entry.id]; ok && holder.claimedAge == entry.claimedAge {
			claims = append(claims, &wire.Claim{Id: entry.id[:], Nonce: holder.nonce, AtNs: holder.claimedAge})
		}
	}
	return claims
}

// load restores the claims of a snapshot. A snapshot of a release that recorded no ages has age 0
// throughout, so that its claims count as just made.
func (c *claimTable) load(claims []*wire.Claim, age uint64) {
	c.age = age
	for _, saved := range claims {
		if len(saved.Id) == claimIDBytes {
			c.insert(claimID(saved.Id), claimHolder{saved.Nonce, saved.AtNs})
		}
	}
}

// elapsedInTerm returns the time that this leader has seen pass since it last proposed claims in the
// term. Time that is lost, with a proposal or between leaders, only makes the shard seem younger.
func (s *shard) elapsedInTerm(term uint64) (elapsed time.Duration) {
	now := s.clock.Now()
	if s.ageRecordedTerm == term {
		elapsed = max(0, now-s.ageRecordedAt)
	}
	s.ageRecordedTerm, s.ageRecordedAt = term, now
	return elapsed
}
