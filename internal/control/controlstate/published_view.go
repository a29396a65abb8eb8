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

// publishedView is what a member holds at one moment, for readers on other goroutines. It is immutable.
// It is published once it is on the disk and before any peer is notified: whoever reads the view sees
// all that this member has acknowledged to hold, also while its goroutine waits for the disk.
type publishedView struct {
	self                string                    // this member's incarnation
	documents           map[string]*wire.Document // by key
	compressedDocuments map[string]*wire.Document // the same, for clients that accept them
	unappliedVersions   map[string]uint64         // by key: see highestVersions
	members             []string                  // of the newest membership that this member knows
	generation          uint64                    // of the group: how often it was restored
	term, index         uint64                    // of that membership
	isVoter             bool                      // this member is a voter, and its disk works
	leader              string
	isLeader            bool
	changed             chan struct{} // closed once a newer view has something to respond with
}

// viewPublisher holds the newest view.
type viewPublisher struct {
	view      atomic.Pointer[publishedView]
	longPolls atomic.Int64 // that wait for a newer view
}

func (p *viewPublisher) current() *publishedView { return p.view.Load() }

// publishRecovered publishes what was recovered from the disk, in place of whatever was shown before.
func (s *shard) publishRecovered() {
	s.publish(consensus.Ready{Snapshot: &wire.Snapshot{}})
}

// publish publishes a new view if the part of the core's output that was carried out has changed what a
// view shows. It wakes long polls only if there is something to respond with.
func (s *shard) publish(ready consensus.Ready) {
	if s.group == nil {
		return
	}
	previous, status := s.published.current(), s.core.Status()
	isReplaced := previous == nil || ready.Snapshot != nil // whatever was shown before
	isLeader := status.IsLeader && s.failure == nil
	hasNewEntries := len(ready.Records) > 0 || len(ready.CommittedEntries) > 0
	if !isReplaced && !hasNewEntries && s.failure == nil && previous.leader == status.Leader && previous.isLeader == isLeader {
		return
	}
	if isLeader && (previous == nil || !previous.isLeader) {
		s.log.Info("became the leader", "term", status.Term)
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
		defer close(previous.changed) // after the new view is stored
	default:
		view.changed = previous.changed
	}
	s.published.view.Store(view)
}

// containsCommand reports whether an entry carries a command; a leader's first entry of its term is
// empty.
func containsCommand(entries []*wire.Entry) bool {
	return slices.ContainsFunc(entries, func(entry *wire.Entry) bool { return len(entry.Body) > 0 })
}

// isNewerThan reports whether a client that has seen the previous view learns something from this one.
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

// compressDocuments compresses documents. Those that the previous view holds already aren't compressed
// again.
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

// unreadableKey stands for the documents that an entry which can't be decoded may change. No document
// has it as its key.
const unreadableKey = ""

// anyVersion is the version of a change whose entry doesn't say which version it makes.
const anyVersion = ^uint64(0)

// highestVersions returns, by key, the highest version that entries which aren't applied yet may make
// of each document.
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

// proposedVersion returns the document that an entry changes and the version that it may make. ok is
// false if the entry changes no document.
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
