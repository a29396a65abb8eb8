package controlstate

import (
	"maps"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// publishedView is what a member held at one moment. It is published after its disk holds it and
// before any peer hears so; so whoever reads the view sees all that this member has acknowledged
// to hold, also while its thread waits for the disk.
type publishedView struct {
	self                string
	documents           map[string]*wire.Document
	compressedDocuments map[string]*wire.Document // the same, for those that take them so
	unappliedVersions   map[string]uint64         // what entries that aren't applied yet may bring
	members             []string
	term                uint64
	index               uint64
	isVoter             bool // it is a member, and its disk is well
	leader              string
	isLeader            bool
	changed             chan struct{} // closed once there is news
}

// viewPublisher holds the newest view.
type viewPublisher struct {
	view      atomic.Pointer[publishedView]
	longPolls atomic.Int64 // requests that are held
}

func (p *viewPublisher) current() *publishedView { return p.view.Load() }

// publish makes a new view where a step has changed what it shows. It wakes the requests that are
// held only when there is something to answer.
func (s *shard) publish(ready consensus.Ready) {
	if s.group == nil {
		return
	}
	previous, status := s.published.current(), s.core.Status()
	isFirst := previous == nil || ready.Snapshot != nil
	isLeader := status.IsLeader && s.failure == nil
	if !isFirst && len(ready.Records) == 0 && len(ready.CommittedEntries) == 0 && previous.leader == status.Leader && previous.isLeader == isLeader && s.failure == nil {
		return
	}
	if isLeader && (previous == nil || !previous.isLeader) {
		s.log.Info("leads the group", "term", status.Term)
	}
	view := &publishedView{leader: status.Leader, isLeader: isLeader, unappliedVersions: highestVersions(s.core.UnappliedEntries())}
	view.members, view.term, view.index = s.core.Members()
	view.self = s.core.Self()
	view.isVoter = s.failure == nil && s.core.IsVoter(view.self)
	changed := isFirst
	for _, entry := range ready.CommittedEntries {
		changed = changed || len(entry.Body) > 0
	}
	if changed {
		view.documents = maps.Clone(s.state.documents)
		view.compressedDocuments = compressDocuments(view.documents, previous)
	} else {
		view.documents, view.compressedDocuments = previous.documents, previous.compressedDocuments
	}
	if previous != nil {
		view.changed = previous.changed
		isNew := view.term != previous.term || view.index != previous.index || view.isVoter != previous.isVoter
		for key, document := range view.documents {
			isNew = isNew || previous.documents[key] != document
		}
		if isNew {
			view.changed = make(chan struct{})
			defer close(previous.changed)
		}
	} else {
		view.changed = make(chan struct{})
	}
	s.published.view.Store(view)
}

// compressDocuments packs documents; those that the view before held already aren't packed again.
func compressDocuments(docs map[string]*wire.Document, previous *publishedView) map[string]*wire.Document {
	result := make(map[string]*wire.Document, len(docs))
	for key, document := range docs {
		if previous != nil && previous.documents[key] == document {
			result[key] = previous.compressedDocuments[key]
		} else {
			result[key] = fleet.Compress(document)
		}
	}
	return result
}

// highestVersions adds up what the entries that aren't applied yet may bring: by key the highest
// version, the greatest number where an entry doesn't hold it.
func highestVersions(entries []*wire.Entry) map[string]uint64 {
	var highest map[string]uint64
	for _, entry := range entries {
		command := &wire.Command{}
		if len(entry.Body) == 0 {
			continue
		}
		key, version := "", ^uint64(0) // can't be read: it may be anything
		if proto.Unmarshal(entry.Body, command) == nil {
			put := command.GetPut()
			if put == nil {
				continue
			}
			if key = put.Key; put.NewVersion > 0 {
				version = put.NewVersion
			}
		}
		if highest == nil {
			highest = map[string]uint64{}
		}
		highest[key] = max(highest[key], version)
	}
	return highest
}
