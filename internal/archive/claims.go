package archive

import "pebbleloom/internal/wire"

// claims remembers who took which once-only id: the latest ones, in log order, so that
// every member forgets the same.
type claims struct {
	by    map[[16]byte]uint64
	order [][16]byte
}

func newClaims() claims { return claims{by: map[[16]byte]uint64{}} }

// take gives an id to the first that claims it; a claim asked for again by the same is
// granted again, since its answer may have been lost. Whoever holds an id may give it back.
func (c *claims) take(x *wire.Claim) bool {
	if len(x.Id) != 16 {
		return false
	}
	id := [16]byte(x.Id)
	n, held := c.by[id]
	if x.Release {
		if held && n == x.Nonce {
			delete(c.by, id) // its place in the order is passed over when it comes up
		}
		return held && n == x.Nonce
	}
	if held {
		return n == x.Nonce
	}
	c.by[id] = x.Nonce
	c.order = append(c.order, id)
	for len(c.order) > maxClaims {
		delete(c.by, c.order[0])
		c.order = c.order[1:]
	}
	return true
}

func (c *claims) save() []*wire.Claim {
	var l []*wire.Claim
	seen := map[[16]byte]bool{}
	for _, id := range c.order {
		if n, ok := c.by[id]; ok && !seen[id] {
			seen[id] = true
			l = append(l, &wire.Claim{Id: id[:], Nonce: n})
		}
	}
	return l
}
