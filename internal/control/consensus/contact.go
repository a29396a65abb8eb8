package consensus

import "pebbleloom/internal/wire"

// A leader measures its contact with a peer by the age of the newest request that the peer has responded
// to, not by the arrival of the response, which may be late. Otherwise a partitioned leader that receives
// just one late response would consider that peer up and the others down, and would propose to remove one
// of the others although it has no contact with a quorum.

// sentTick returns the current tick as a leader's request carries it and the response echoes it. It is never
// 0, since a response with 0 comes from an older release, which doesn't echo the tick.
func (c *Core) sentTick() uint64 { return uint64(c.ticks) + 1 }

// requestAge returns how many ticks ago this leader sent the request that a response belongs to. It is 0 if the
// response echoes no tick, or one later than the leader's current tick.
func (c *Core) requestAge(response *wire.Message) int {
	now := c.sentTick()
	if response.SentTick == 0 || response.SentTick > now {
		return 0
	}
	return int(now - response.SentTick)
}
