package controlstate

import (
	"context"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// queryTimeoutRatio is the time-out of this node's internal queries to a shard's goroutine, as a fraction of
// settings.Bounds.Recovery, the configured time to restore service after a fault.
const queryTimeoutRatio = 1.0 / 24

// queryStatus returns the status of this node's member of a shard, listed under the given name. If the shard's
// goroutine does not respond before ctx ends, the status says so in Failure.
func (s *shard) queryStatus(ctx context.Context, shardID uint32, member string) *wire.ShardStatus {
	unresponsive := &wire.ShardStatus{Shard: shardID, Member: member, Failure: "the shard's goroutine does not respond: its disk may be stalled"}
	return query(ctx, s, unresponsive, func() *wire.ShardStatus { return s.status(shardID, member) })
}

// status returns the status of this node's member of a shard. It runs on the shard's goroutine.
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
