package controlstate

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Bounds on the record of taken changes. A change may be sent again as late as its operator likes, so
// the record is bounded by what a site changes in a day, and for each document by itself: a stream of
// changes to one document can't push out those of another.
const (
	changesPerDay   = 1200              // of the configuration, at the target size
	maxTaken        = 3 * changesPerDay // remembered of the configuration
	maxTakenOther   = maxTokens         // remembered of any other document
	tokenHashBytes  = 16
	takenDigestSize = 8
)

// takenChange is one change that was taken under a token. The token is kept as the start of its hash,
// so that a record has the same size whatever operators send.
type takenChange struct {
	token          [tokenHashBytes]byte
	digest         [takenDigestSize]byte
	version        uint64 // that the change made
	digestWithBase bool   // the digest is Put.digest, of a release that knew no content digest
}

// takenChanges are the changes of one document that are remembered, the oldest first. Every change
// that made a version above forgotten is among them.
type takenChanges struct {
	forgotten uint64
	changes   []takenChange
}

// takenLimit is how many changes of a document are remembered.
func takenLimit(key string) int {
	if key == routingconfig.Key || key == controlclient.SetupKey {
		return maxTaken
	}
	return maxTakenOther
}

func tokenHash(token string) (hash [tokenHashBytes]byte) {
	sum := sha256.Sum256([]byte(token))
	copy(hash[:], sum[:])
	return hash
}

// contentDigest identifies what a change asks for, whatever version it builds on: a step that is made
// again under its token on a later version is the same change.
func contentDigest(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %v ", put.Key, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)[:takenDigestSize]
}

// digestOf identifies a change together with the version it builds on. Releases without the content
// digest compare nothing else, so it is still written.
func digestOf(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %d %v %v ", put.Key, put.IfVersion, put.AnyVersion, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)
}

// newTakenChange is the record of a change that has just made a version.
func newTakenChange(put *wire.Put, version uint64) takenChange {
	change := takenChange{token: tokenHash(put.Token), version: version}
	digest := put.ContentDigest
	if len(digest) == 0 {
		digest, change.digestWithBase = put.Digest, true
	}
	copy(change.digest[:], digest)
	return change
}

// sameChange tells whether a request under the same token asks for the change that was taken.
func (c takenChange) sameChange(put *wire.Put) bool {
	digest := put.ContentDigest
	if c.digestWithBase {
		digest = put.Digest
	}
	var start [takenDigestSize]byte
	copy(start[:], digest)
	return start == c.digest
}

// add remembers a change, and forgets the oldest where that makes too many.
func (t *takenChanges) add(change takenChange, limit int) {
	t.changes = append(t.changes, change)
	for len(t.changes) > limit {
		t.forgotten = t.changes[0].version
		t.changes = t.changes[1:]
	}
}

// find looks a token up, the newest changes first.
func (t *takenChanges) find(token string) (takenChange, bool) {
	if t == nil || token == "" {
		return takenChange{}, false
	}
	hash := tokenHash(token)
	for i := len(t.changes) - 1; i >= 0; i-- {
		if t.changes[i].token == hash {
			return t.changes[i], true
		}
	}
	return takenChange{}, false
}

// mayBeForgotten tells whether a change that isn't remembered may have been taken all the same. A
// change on version v makes a version above v; all those above forgotten are remembered.
func (t *takenChanges) mayBeForgotten(put *wire.Put) bool {
	return t != nil && put.Token != "" && !put.AnyVersion && put.IfVersion < t.forgotten
}

// remember notes a change under a token: in the record of its document, and among the newest of all
// documents, which is what earlier releases go by.
func (s *state) remember(put *wire.Put, version uint64) {
	if put.Token == "" {
		return
	}
	s.tokens = append(s.tokens, &wire.ChangeToken{Token: put.Token, Key: put.Key, Version: version, Digest: put.Digest})
	if len(s.tokens) > maxTokens {
		s.tokens = s.tokens[1:]
	}
	s.takenOf(put.Key).add(newTakenChange(put, version), takenLimit(put.Key))
}

func (s *state) takenOf(key string) *takenChanges {
	if s.taken[key] == nil {
		s.taken[key] = &takenChanges{}
	}
	return s.taken[key]
}

// tokenIsRecent tells whether a token is among the newest of all documents. Earlier releases change
// nothing then; this is the same rule, so that all members make the same state of the same log.
func (s *state) tokenIsRecent(token string) bool {
	return token != "" && slices.ContainsFunc(s.tokens, func(t *wire.ChangeToken) bool { return t.Token == token })
}

// repeated answers a change whose token is remembered: the first outcome stands. Nil: it isn't.
func (s *state) repeated(put *wire.Put) *wire.ChangeResponse {
	if change, ok := s.taken[put.Key].find(put.Token); ok && change.sameChange(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: change.version, TokenReuse: "the change was made before"}
	} else if ok || s.tokenIsRecent(put.Token) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"token " + put.Token + " was used for another change: give each change its own"}}
	}
	return nil
}

// overtaken answers a change whose base isn't the version in force: done where it was taken before,
// without a clear answer where that can't be told any more, and otherwise a conflict.
func (s *state) overtaken(put *wire.Put) *wire.ChangeResponse {
	if response := s.repeated(put); response != nil {
		return response
	}
	version := s.docs[put.Key].GetVersion()
	if s.taken[put.Key].mayBeForgotten(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown, Version: version}
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: version}
}

// saveTaken writes the records of all documents, in the order of their keys.
func (s *state) saveTaken() (all []*wire.TakenChanges) {
	for _, key := range queue.Keys(s.taken) {
		record := s.taken[key]
		saved := &wire.TakenChanges{Key: key, ForgottenVersion: record.forgotten}
		for i := range record.changes {
			c := &record.changes[i]
			saved.Changes = append(saved.Changes, &wire.TakenChange{Token: c.token[:], Digest: c.digest[:], Version: c.version, DigestWithBase: c.digestWithBase})
		}
		all = append(all, saved)
	}
	return all
}

// loadTaken reads the records. A snapshot of an earlier release has none: it holds the newest changes
// of all documents, and where these are as many as it keeps, older ones were forgotten.
func (s *state) loadTaken(all []*wire.TakenChanges) {
	for _, saved := range all {
		record := s.takenOf(saved.Key)
		record.forgotten = saved.ForgottenVersion
		for _, c := range saved.Changes {
			change := takenChange{version: c.Version, digestWithBase: c.DigestWithBase}
			copy(change.token[:], c.Token)
			copy(change.digest[:], c.Digest)
			record.changes = append(record.changes, change)
		}
	}
	if len(all) > 0 {
		return
	}
	for _, t := range s.tokens {
		put := &wire.Put{Token: t.Token, Digest: t.Digest}
		s.takenOf(t.Key).add(newTakenChange(put, t.Version), takenLimit(t.Key))
	}
	if len(s.tokens) < maxTokens {
		return
	}
	for key, doc := range s.docs {
		record := s.takenOf(key)
		record.forgotten = doc.Version
		if len(record.changes) > 0 {
			record.forgotten = record.changes[0].version - 1
		}
	}
}
