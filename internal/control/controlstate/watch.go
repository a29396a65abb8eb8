package controlstate

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// maxWatchers limits the Watch requests that wait concurrently on one shard. Further ones get an immediate
// response.
const maxWatchers = 1024

// watch serves a long poll for one document: it waits until there is a newer version of the document than the
// client knows or the wait time of the request is over. OutcomeUnchanged means that this member's log contains no
// newer version. Whether such responses from a majority of members prove that there is none is for the caller to
// decide.
func (s *shard) watch(ctx context.Context, request *wire.WatchRequest, member string) *wire.WatchResponse {
	unknown := &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
	timer := time.NewTimer(time.Duration(request.MaxWaitNs))
	defer timer.Stop()
	for expired := false; ; {
		// response and changed must not be read after runOnLoop has returned false: the command may still run and write
		// them.
		var response *wire.WatchResponse
		var changed chan struct{}
		if !s.runOnLoop(ctx, func() {
			if response = s.watchResponse(request, member, expired); response == nil {
				changed = make(chan struct{})
				s.watchers[changed] = true
			}
		}) {
			return unknown
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
			return unknown
		}
		s.commands.Offer(func() { delete(s.watchers, changed) })
	}
}

// watchResponse returns the response to a watch, with the incarnations that this member knows; nil if the watch
// has to wait.
func (s *shard) watchResponse(request *wire.WatchRequest, member string, expired bool) *wire.WatchResponse {
	response := s.documentResponse(request, member, expired)
	if response != nil {
		response.Incarnation, response.KnownIncarnations = s.core.Incarnations()
	}
	return response
}

// documentResponse returns the response to a watch of a document, without incarnations; nil if the watch has to
// wait.
func (s *shard) documentResponse(request *wire.WatchRequest, member string, expired bool) *wire.WatchResponse {
	document := s.state.documents[request.Key]
	switch {
	case s.failure == nil && document.GetVersion() > request.KnownVersion:
		nothingNewer := s.hasNothingNewer(request.Key)
		return &wire.WatchResponse{Outcome: wire.OutcomeUpdated, Document: document, Member: member, NothingNewer: nothingNewer}
	case expired && s.hasNothingNewer(request.Key) && document.GetVersion() == request.KnownVersion:
		return &wire.WatchResponse{Outcome: wire.OutcomeUnchanged, Member: member}
	case expired || s.failure != nil || len(s.watchers) >= maxWatchers:
		return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: member}
	}
	return nil
}

// hasNothingNewer reports whether this member's log contains no newer version of a document than the applied one. In
// that case this member has not contributed to the acknowledgement of a newer version.
func (s *shard) hasNothingNewer(key string) bool {
	if s.failure != nil || s.core.Status().Blank {
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
