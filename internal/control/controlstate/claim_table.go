package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// claimTable remembers who claimed which once-only id. Ids are forgotten by age, never by count: a
// flood can't make an id runnable again whose caller may still repeat it. The age is the shard's
// own: each leader adds the time that it saw pass, so between leaders it stands still, and ids are
// kept a little longer. It is in the log, so every member forgets the same.
type claimTable struct {
	holders map[[16]byte]claimHolder
	order   []claimOrderEntry // the oldest first; ids that were given back may still stand in it
	age     uint64            // of the shard, in nanoseconds
}

// claimHolder is who holds an id, and the shard's age when it was claimed.
type claimHolder struct{ nonce, claimedAge uint64 }

// claimOrderEntry is an id's place in the order of age.
type claimOrderEntry struct {
	id         [16]byte
	claimedAge uint64
}

func newClaimTable() claimTable { return claimTable{holders: map[[16]byte]claimHolder{}} }

// advanceAge adds to the shard's age, and forgets what is older than keep.
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
	if len(c.order) > 2*maxClaims { // places of ids that were given back
		c.order = slices.DeleteFunc(c.order, func(entry claimOrderEntry) bool {
			holder, ok := c.holders[entry.id]
			return !ok || holder.claimedAge != entry.claimedAge
		})
	}
}

// claim gives an id to the first that claims it; a claim asked for again by the same is
// granted again, since its answer may have been lost. Whoever holds an id may give it back.
// A table full of young ids takes no more: full is true, and nothing was claimed.
func (c *claimTable) claim(request *wire.Claim) (granted, full bool) {
	if len(request.Id) != 16 {
		return false, false
	}
	id := [16]byte(request.Id)
	holder, isHeld := c.holders[id]
	switch {
	case request.Release:
		if isHeld && holder.nonce == request.Nonce {
			delete(c.holders, id) // its place in the order is passed over when it comes up
		}
		return isHeld && holder.nonce == request.Nonce, false
	case isHeld:
		return holder.nonce == request.Nonce, false
	case len(c.holders) >= maxClaims:
		return false, true
	}
	c.insert(id, claimHolder{request.Nonce, c.age})
	return true, false
}

func (c *claimTable) insert(id [16]byte, holder claimHolder) {
	c.holders[id] = holder
	c.order = append(c.order, claimOrderEntry{id, holder.claimedAge})
}

func (c *claimTable) save() (all []*wire.Claim) {
	for _, entry := range c.order {
		if holder, ok := c.holders[entry.id]; ok && holder.claimedAge == entry.claimedAge {
			all = append(all, &wire.Claim{Id: entry.id[:], Nonce: holder.nonce, AtNs: holder.claimedAge})
		}
	}
	return all
}

// load reads what a snapshot holds. What has no age counts as young: its release knew none.
func (c *claimTable) load(all []*wire.Claim, age uint64) {
	c.age = age
	for _, saved := range all {
		if len(saved.Id) == 16 {
			c.insert([16]byte(saved.Id), claimHolder{saved.Nonce, saved.AtNs})
		}
	}
}

// elapsedInTerm is how long the leader has seen pass since its last claims of this term. Time that is
// lost, with a command or between leaders, only makes the shard seem younger.
func (s *shard) elapsedInTerm(term uint64) (elapsed time.Duration) {
	now := s.clock.Now()
	if s.ageRecordedTerm == term {
		elapsed = max(0, now-s.ageRecordedAt)
	}
	s.ageRecordedTerm, s.ageRecordedAt = term, now
	return elapsed
}
