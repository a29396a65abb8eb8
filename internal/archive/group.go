package archive

import (
	"context"

	"pebbleloom/internal/wire"
)

// Join takes a machine with an empty disk into the groups; a site whose core machines are named
// in the settings takes nobody in.
//
// Example: t, err := a.Join(ctx, &wire.JoinAsk{Name: "10.1.0.17:7360/8f3a"})
func (n *Node) Join(context.Context, *wire.JoinAsk) (*wire.JoinTell, error) {
	return &wire.JoinTell{Outcome: "cant-say"}, nil
}

// Follow answers a long poll over several documents.
//
// Example: t, err := a.Follow(ctx, &wire.FollowAsk{Have: have, HoldNs: 1e9, Proof: "plan"})
func (n *Node) Follow(context.Context, *wire.FollowAsk) (*wire.FollowTell, error) {
	return &wire.FollowTell{Member: n.life.Place.Name}, nil
}
