package consensus

import "pebbleloom/internal/wire"

// A leader counts a peer as there by the age of the newest request that the peer has responded to,
// not by when the response came: a response may come late. A leader that hears nothing any more, but
// got one late response, would else take that peer for alive and the others for silent, and remove
// one of these by a quorum that it isn't in touch with.

// sentTick is what a request of the leader carries for its response to give back; never 0.
func (c *Core) sentTick() uint64 { return uint64(c.ticks) + 1 }

// requestAge is how many ticks ago the request was sent that a response of this term answers; 0 where the
// peer's release doesn't give that back.
func (c *Core) requestAge(response *wire.Message) int {
	now := c.sentTick()
	if response.SentTick == 0 || response.SentTick > now {
		return 0
	}
	return int(now - response.SentTick)
}
