package controlstate

import (
	"maps"
	"slices"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// publishedView is an immutable copy of a member's state for readers on other goroutines. A view is published after
// its contents are synced to disk and before any message about them is sent to peers. Readers therefore see
// everything that this member has acknowledged, even while the shard's goroutine waits for the disk.
type publishedView struct {
	self                string                    // incarnation of this member
	documents           map[string]*wire.Document // documents of the applied state, by key
	compressedDocuments map[string]*wire.Document // documents in compressed form, for clients that accept it, by key
	unappliedVersions   map[string]uint64         // highest document versions in unapplied log entries, by key (highestVersions)
	members             []string                  // incarnations of the voters in the newest membership that this member knows
	generation          uint64                    // identifies the last restore of the group from one member; 0: never restored
	term, index         uint64                    // term and index of the log entry that established the newest known membership
	isVoter             bool                      // whether this member is a voter and has not failed
	leader              string                    // incarnation of the leader; "": not known
	isLeader            bool                      // whether this member is the leader and has not failed
	changed             chan struct{}             // channel that is closed when a newer view is published that long polls have to respond with
}

// viewPublisher provides a member's newest published view to readers on other goroutines.
type viewPublisher struct {
	view      atomic.Pointer[publishedView]
	longPolls atomic.Int64 // number of Follow requests that are being served
}

// current returns the newest published view of this member, or nil if none has been published.
func (p *viewPublisher) current() *publishedView { return p.view.Load() }

// publishRecovered publishes a complete view of the shard's state that was recovered from the disk.
func (s *shard) publishRecovered() {
	s.publish(consensus.Ready{Snapshot: &wire.Snapshot{}})
}

// publish publishes a new view of this member if the given part of the consensus core's output, which has been
// carried out, changes the contents of the view. It wakes long polls only if the new view has something to respond
// with.
func (s *shard) publish(ready consensus.Ready) {
	if s.group == nil {
		return
	}
	previous, status := s.published.current(), s.core.Status()
	isReplaced := previous == nil || ready.Snapshot != nil // the whole state may have changed: publish all documents, regardless of the previous view
	isLeader := status.IsLeader && s.failure == nil
	hasNewEntries := len(ready.Records) > 0 || len(ready.CommittedEntries) > 0
	if !isReplaced && !hasNewEntries && s.failure == nil && previous.leader == status.Leader && previous.isLeader == isLeader {
		return
	}
	if isLeader && (previous == nil || !previous.isLeader) {
		s.log.Info("control node became leader of its group", "term", status.Term)
	}
	view := &publishedView{self: s.core.Self(), leader: status.Leader, isLeader: isLeader}
	view.unappliedVersions = highestVersions(s.core.UnappliedEntries())
	view.members, view.term, view.index = s.core.Members()
	view.generation = status.RestoreGeneration
	view.isVoter = s.failure == nil && s.core.IsVoter(view.self)
	if isReplaced || containsCommand(ready.CommittedEntries) {
		view.documents = maps.Clone(s.state.documents)
		view.compressedDocuments = compressDocuments(view.documents, previous)
	} else {
		view.documents, view.compressedDocuments = previous.documents, previous.compressedDocuments
	}
	switch {
	case previous == nil:
		view.changed = make(chan struct{})
	case view.isNewerThan(previous):
		view.changed = make(chan struct{})
		defer close(previous.changed) // wakes the long polls after the new view is stored
	default:
		view.changed = previous.changed
	}
	s.published.view.Store(view)
}

// containsCommand reports whether any of the log entries carries a command. The first entry of a leader's term,
// for example, carries none.
func containsCommand(entries []*wire.Entry) bool {
	return slices.ContainsFunc(entries, func(entry *wire.Entry) bool { return len(entry.Body) > 0 })
}

// isNewerThan reports whether this published view contains changes since the previous one that clients of long
// polls have to learn about.
func (v *publishedView) isNewerThan(previous *publishedView) bool {
	if v.generation != previous.generation || v.term != previous.term || v.index != previous.index || v.isVoter != previous.isVoter {
		return true
	}
	for key, document := range v.documents {
		if previous.documents[key] != document {
			return true
		}
	}
	return false
}

// compressDocuments returns the documents in compressed form, by key. It reuses the compressed form of those that
// are unchanged since the previous published view.
func compressDocuments(documents map[string]*wire.Document, previous *publishedView) map[string]*wire.Document {
	compressed := make(map[string]*wire.Document, len(documents))
	for key, document := range documents {
		if previous != nil && previous.documents[key] == document {
			compressed[key] = previous.compressedDocuments[key]
		} else {
			compressed[key] = fleet.Compress(document)
		}
	}
	return compressed
}

// unreadableKey is the key under which highestVersions reports log entries that cannot be decoded, which may
// change any document. No document has this key.
const unreadableKey = ""

// anyVersion is the document version reported for log entries that do not state the version they produce. It is
// higher than all actual versions.
const anyVersion = ^uint64(0)

// highestVersions returns, by key, the highest version of each document that the given unapplied entries may
// produce.
func highestVersions(entries []*wire.Entry) map[string]uint64 {
	var highest map[string]uint64
	for _, entry := range entries {
		key, version, ok := proposedVersion(entry)
		if !ok {
			continue
		}
		if highest == nil {
			highest = map[string]uint64{}
		}
		highest[key] = max(highest[key], version)
	}
	return highest
}

// proposedVersion returns the key of the document that a log entry changes and the highest version of the document
// that it may produce. ok is false if the entry changes no document.
func proposedVersion(entry *wire.Entry) (key string, version uint64, ok bool) {
	if len(entry.Body) == 0 {
		return "", 0, false
	}
	command := &wire.Command{}
	if proto.Unmarshal(entry.Body, command) != nil {
		return unreadableKey, anyVersion, true
	}
	put := command.GetPut()
	switch {
	case put == nil:
		return "", 0, false
	case put.NewVersion > 0:
		return put.Key, put.NewVersion, true
	}
	return put.Key, anyVersion, true
}
