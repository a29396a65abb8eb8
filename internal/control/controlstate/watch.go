package controlstate

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// hasNothingNewer tells whether this member's log holds no newer document of a key than what it has
// applied: then none was ever acknowledged with its help.
func (s *shard) hasNothingNewer(key string) bool {
	status := s.core.Status()
	if s.failure != nil || status.Blank {
		return false
	}
	for _, entry := range s.core.UnappliedEntries() {
		command := &wire.Command{}
		if len(entry.Body) > 0 && (proto.Unmarshal(entry.Body, command) != nil || command.GetPut().GetKey() == key) {
			return false
		}
	}
	return true
}

// watch holds the request until there is a newer document or its time is over. OutcomeSame is this
// member's word that its disk holds nothing newer; what a majority of such words proves is the
// caller's to say.
func (s *shard) watch(ctx context.Context, request *wire.WatchRequest, member string) *wire.WatchResponse {
	response := &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
	timer := time.NewTimer(time.Duration(request.MaxWaitNs))
	defer timer.Stop()
	for expired := false; ; {
		var changed chan struct{}
		ok := s.runOnLoop(ctx, func() {
			if response = s.watchResponse(request, member, expired); response == nil {
				changed = make(chan struct{})
				s.watchers[changed] = true
			}
		})
		if !ok {
			return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
		}
		if response != nil {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		case <-s.ctx.Done():
			return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
		}
		s.commands.Offer(func() { delete(s.watchers, changed) })
	}
}

// watchResponse gives the response that can be given now; nil means: wait.
func (s *shard) watchResponse(request *wire.WatchRequest, member string, expired bool) *wire.WatchResponse {
	response := s.documentResponse(request, member, expired)
	if response != nil {
		response.Incarnation, response.KnownIncarnations = s.core.Incarnations()
	}
	return response
}

func (s *shard) documentResponse(request *wire.WatchRequest, member string, expired bool) *wire.WatchResponse {
	document := s.state.documents[request.Key]
	switch {
	case s.failure == nil && document.GetVersion() > request.KnownVersion:
		return &wire.WatchResponse{Outcome: wire.OutcomeUpdated, Document: document, Member: member, NothingNewer: s.hasNothingNewer(request.Key)}
	case expired && s.hasNothingNewer(request.Key) && document.GetVersion() == request.KnownVersion:
		return &wire.WatchResponse{Outcome: wire.OutcomeUnchanged, Member: member}
	case expired || s.failure != nil || len(s.watchers) >= 1024:
		return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
	}
	return nil
}
