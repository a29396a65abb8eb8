package controlstate

import (
	"context"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// queryTimeoutRatio is how long a status query waits for a shard's goroutine, as a ratio of the heal
// bound.
const queryTimeoutRatio = 1.0 / 24

// queryStatus returns the status of this member under the member's name in the shard.
func (s *shard) queryStatus(ctx context.Context, shardID uint32, member string) *wire.ShardStatus {
	unresponsive := &wire.ShardStatus{Shard: shardID, Member: member, Failure: "its thread doesn't answer: the disk may be stalled"}
	return query(ctx, s, unresponsive, func() *wire.ShardStatus { return s.status(shardID, member) })
}

func (s *shard) status(shardID uint32, member string) *wire.ShardStatus {
	status := s.core.Status()
	response := &wire.ShardStatus{
		Shard:        shardID,
		Member:       member,
		Leader:       status.Leader,
		IsLeader:     status.IsLeader,
		Blank:        status.Blank,
		Stuck:        status.RejoinFailure,
		AppliedIndex: status.Applied,
		LastIndex:    status.LastIndex,
		Term:         status.Term,
		LastLogTerm:  status.LastLogTerm,
		StateBytes:   uint64(s.state.documentBytes),
		LogBytes:     uint64(s.store.LogBytes()),
	}
	response.RestoreGeneration = status.RestoreGeneration
	if s.failure != nil {
		response.Failure = errs.Text(s.failure)
	}
	return response
}
