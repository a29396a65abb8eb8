package consensus

import "pebbleloom/internal/wire"

// A leader measures its contact with a peer by the age of the newest request that the peer has responded
// to, not by the arrival of the response, which may be late. Otherwise a leader that receives nothing any
// more but one late response would take that peer for alive and the others for down, and remove one of
// these with a quorum that it has no contact with.

// sentTick returns the tick that a leader's request carries and its response echoes. It is never 0, which
// stands for responses of releases that don't echo it.
func (c *Core) sentTick() uint64 { return uint64(c.ticks) + 1 }

// requestAge returns how many ticks ago the request of a response was sent. It is 0 where the response
// doesn't say, or says a tick in the future.
func (c *Core) requestAge(response *wire.Message) int {
	now := c.sentTick()
	if response.SentTick == 0 || response.SentTick > now {
		return 0
	}
	return int(now - response.SentTick)
}
