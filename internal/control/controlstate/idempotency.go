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
	configChangesPerDay = 1200                    // of the configuration, at the target size
	maxConfigRecords    = 3 * configChangesPerDay // remembered of the configuration
	maxDocumentRecords  = maxRecentTokens         // remembered of any other document
	tokenHashBytes      = 16
	digestBytes         = 8
)

// idempotencyRecord is one change that was taken under a token. The token is kept as the start of its hash,
// so that a record has the same size whatever operators send.
type idempotencyRecord struct {
	tokenHash      [tokenHashBytes]byte
	digest         [digestBytes]byte
	version        uint64 // that the change made
	digestWithBase bool   // the digest is Put.digest, of a release that knew no content digest
}

// idempotencyRecords are the changes of one document that are remembered, the oldest first. Every change
// that made a version above forgotten is among them.
type idempotencyRecords struct {
	forgottenVersion uint64
	records          []idempotencyRecord
}

// maxRecords is how many changes of a document are remembered.
func maxRecords(key string) int {
	if key == routingconfig.DocumentKey || key == controlclient.ConfigKey {
		return maxConfigRecords
	}
	return maxDocumentRecords
}

func hashToken(token string) (hash [tokenHashBytes]byte) {
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
	return hash.Sum(nil)[:digestBytes]
}

// requestDigest identifies a change together with the version it builds on. Releases without the content
// digest compare nothing else, so it is still written.
func requestDigest(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %d %v %v ", put.Key, put.IfVersion, put.AnyVersion, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)
}

// newIdempotencyRecord is the record of a change that has just made a version.
func newIdempotencyRecord(put *wire.Put, version uint64) idempotencyRecord {
	change := idempotencyRecord{tokenHash: hashToken(put.Token), version: version}
	digest := put.ContentDigest
	if len(digest) == 0 {
		digest, change.digestWithBase = put.Digest, true
	}
	copy(change.digest[:], digest)
	return change
}

// isSameChange tells whether a request under the same token asks for the change that was taken.
func (r idempotencyRecord) isSameChange(put *wire.Put) bool {
	digest := put.ContentDigest
	if r.digestWithBase {
		digest = put.Digest
	}
	var start [digestBytes]byte
	copy(start[:], digest)
	return start == r.digest
}

// add remembers a change, and forgets the oldest where that makes too many.
func (r *idempotencyRecords) add(change idempotencyRecord, limit int) {
	r.records = append(r.records, change)
	for len(r.records) > limit {
		r.forgottenVersion = r.records[0].version
		r.records = r.records[1:]
	}
}

// find looks a token up, the newest changes first.
func (r *idempotencyRecords) find(token string) (idempotencyRecord, bool) {
	if r == nil || token == "" {
		return idempotencyRecord{}, false
	}
	hash := hashToken(token)
	for i := len(r.records) - 1; i >= 0; i-- {
		if r.records[i].tokenHash == hash {
			return r.records[i], true
		}
	}
	return idempotencyRecord{}, false
}

// mayHaveForgotten tells whether a change that isn't remembered may have been taken all the same. A
// change on version v makes a version above v; all those above forgotten are remembered.
func (r *idempotencyRecords) mayHaveForgotten(put *wire.Put) bool {
	return r != nil && put.Token != "" && !put.AnyVersion && put.IfVersion < r.forgottenVersion
}

// recordChange notes a change under a token: in the record of its document, and among the newest of all
// documents, which is what earlier releases go by.
func (s *state) recordChange(put *wire.Put, version uint64) {
	if put.Token == "" {
		return
	}
	s.recentTokens = append(s.recentTokens, &wire.ChangeToken{Token: put.Token, Key: put.Key, Version: version, Digest: put.Digest})
	if len(s.recentTokens) > maxRecentTokens {
		s.recentTokens = s.recentTokens[1:]
	}
	s.idempotencyRecordsOf(put.Key).add(newIdempotencyRecord(put, version), maxRecords(put.Key))
}

func (s *state) idempotencyRecordsOf(key string) *idempotencyRecords {
	if s.idempotency[key] == nil {
		s.idempotency[key] = &idempotencyRecords{}
	}
	return s.idempotency[key]
}

// isRecentToken tells whether a token is among the newest of all documents. Earlier releases change
// nothing then; this is the same rule, so that all members make the same state of the same log.
func (s *state) isRecentToken(token string) bool {
	return token != "" && slices.ContainsFunc(s.recentTokens, func(t *wire.ChangeToken) bool { return t.Token == token })
}

// answerRepeated answers a change whose token is remembered: the first outcome stands. Nil: it isn't.
func (s *state) answerRepeated(put *wire.Put) *wire.ChangeResponse {
	if change, ok := s.idempotency[put.Key].find(put.Token); ok && change.isSameChange(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: change.version, TokenReuse: "the change was made before"}
	} else if ok || s.isRecentToken(put.Token) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{"token " + put.Token + " was used for another change: give each change its own"}}
	}
	return nil
}

// answerStaleBase answers a change whose base isn't the version in force: done where it was taken before,
// without a clear answer where that can't be told any more, and otherwise a conflict.
func (s *state) answerStaleBase(put *wire.Put) *wire.ChangeResponse {
	if response := s.answerRepeated(put); response != nil {
		return response
	}
	version := s.documents[put.Key].GetVersion()
	if s.idempotency[put.Key].mayHaveForgotten(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown, Version: version}
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: version}
}

// saveIdempotency writes the records of all documents, in the order of their keys.
func (s *state) saveIdempotency() (all []*wire.AcceptedChanges) {
	for _, key := range queue.Keys(s.idempotency) {
		records := s.idempotency[key]
		saved := &wire.AcceptedChanges{Key: key, ForgottenVersion: records.forgottenVersion}
		for i := range records.records {
			change := &records.records[i]
			saved.Changes = append(saved.Changes, &wire.AcceptedChange{Token: change.tokenHash[:], Digest: change.digest[:], Version: change.version, DigestWithBase: change.digestWithBase})
		}
		all = append(all, saved)
	}
	return all
}

// loadIdempotency reads the records. A snapshot of an earlier release has none: it holds the newest changes
// of all documents, and where these are as many as it keeps, older ones were forgotten.
func (s *state) loadIdempotency(all []*wire.AcceptedChanges) {
	for _, saved := range all {
		records := s.idempotencyRecordsOf(saved.Key)
		records.forgottenVersion = saved.ForgottenVersion
		for _, savedRecord := range saved.Changes {
			record := idempotencyRecord{version: savedRecord.Version, digestWithBase: savedRecord.DigestWithBase}
			copy(record.tokenHash[:], savedRecord.Token)
			copy(record.digest[:], savedRecord.Digest)
			records.records = append(records.records, record)
		}
	}
	if len(all) > 0 {
		return
	}
	for _, token := range s.recentTokens {
		put := &wire.Put{Token: token.Token, Digest: token.Digest}
		s.idempotencyRecordsOf(token.Key).add(newIdempotencyRecord(put, token.Version), maxRecords(token.Key))
	}
	if len(s.recentTokens) < maxRecentTokens {
		return
	}
	for key, document := range s.documents {
		records := s.idempotencyRecordsOf(key)
		records.forgottenVersion = document.Version
		if len(records.records) > 0 {
			records.forgottenVersion = records.records[0].version - 1
		}
	}
}
