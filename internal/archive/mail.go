package archive

import (
	"context"

	"pebbleloom/internal/link"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// mail carries a group's letters: a ring and a thread for each address that gets any. It
// belongs to the part's thread.
type mail struct {
	ctx    context.Context
	n      *Node
	boxes  map[string]*box
	posted int
}

type box struct {
	r    *queue.Ring[*wire.Letter]
	last int // the letter that was posted last, counted over all
	end  context.CancelFunc
}

// maxBoxes is how many addresses get letters at once; the one that got none for longest gives way.
const maxBoxes = 16

func newMail(ctx context.Context, n *Node) *mail {
	return &mail{ctx: ctx, n: n, boxes: map[string]*box{}}
}

// post hands a letter to the thread of the address in its receiver's name. A full ring drops
// it: letters may be lost.
func (m *mail) post(l *wire.Letter) {
	to := link.Addr(l.To)
	b := m.boxes[to]
	if b == nil {
		if len(m.boxes) >= maxBoxes {
			m.drop()
		}
		ctx, end := context.WithCancel(m.ctx)
		b = &box{r: queue.NewRing[*wire.Letter](64), end: end}
		m.boxes[to] = b
		go m.carry(ctx, to, b.r)
	}
	m.posted++
	b.last = m.posted
	b.r.Offer(l)
}

func (m *mail) drop() {
	old := ""
	for a, b := range m.boxes {
		if old == "" || b.last < m.boxes[old].last {
			old = a
		}
	}
	m.boxes[old].end()
	delete(m.boxes, old)
}

func (m *mail) carry(ctx context.Context, to string, r *queue.Ring[*wire.Letter]) {
	life := m.n.life
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-r.Out():
			ls := append([]*wire.Letter{l}, r.Drain(15)...)
			one, end := context.WithTimeout(ctx, life.Place.Bounds.Heal(1.0/24))
			_, err := m.n.calls.Archive(to).Post(one, &wire.Parcel{Epoch: 1, Letters: ls})
			end()
			if err != nil {
				life.Log.Debug("letters lost", "to", to, "letters", len(ls), "error", err)
			}
		}
	}
}
