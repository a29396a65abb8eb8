package controlstate

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// Bounds of the idempotency records. An operator may send a change again as late as it likes, so the
// records are bounded by what a site changes within days, and for each document by itself: a stream of
// changes to one document can't displace those of another.
const (
	configChangesPerDay = 1200                    // of the configuration, at the target size
	maxConfigRecords    = 3 * configChangesPerDay // of the configuration
	maxDocumentRecords  = maxRecentTokens         // of any other document
	tokenHashBytes      = 16
	digestBytes         = 8
)

// idempotencyRecord is one change that was accepted under a token. It keeps the start of the token's
// hash, so that a record has the same size whatever operators send.
type idempotencyRecord struct {
	tokenHash      [tokenHashBytes]byte
	digest         [digestBytes]byte
	version        uint64 // of the document after the change
	digestWithBase bool   // the digest is Put.digest, of a release that knew no content digest
}

// idempotencyRecords are the remembered changes of one document, the oldest first. Invariant: they
// contain every change that made a version above forgottenVersion.
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

// contentDigest identifies the content of a change, whatever version it builds on: a step that is
// repeated under its token on a later version is the same change.
func contentDigest(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %v ", put.Key, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)[:digestBytes]
}

// requestDigest identifies a change together with the version it builds on. Releases without the
// content digest compare nothing else, so it is still written.
func requestDigest(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %d %v %v ", put.Key, put.IfVersion, put.AnyVersion, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)
}

// newIdempotencyRecord is the record of a change that has just made a version.
func newIdempotencyRecord(put *wire.Put, version uint64) idempotencyRecord {
	record := idempotencyRecord{tokenHash: hashToken(put.Token), version: version}
	digest := put.ContentDigest
	if len(digest) == 0 {
		digest, record.digestWithBase = put.Digest, true
	}
	copy(record.digest[:], digest)
	return record
}

// isSameChange reports whether a request under the same token asks for the change that was accepted.
func (r *idempotencyRecord) isSameChange(put *wire.Put) bool {
	digest := put.ContentDigest
	if r.digestWithBase {
		digest = put.Digest
	}
	var start [digestBytes]byte
	copy(start[:], digest)
	return start == r.digest
}

// add appends a record and forgets the oldest ones above the limit.
func (r *idempotencyRecords) add(record idempotencyRecord, limit int) {
	r.records = append(r.records, record)
	for len(r.records) > limit {
		r.forgottenVersion = r.records[0].version
		r.records = r.records[1:]
	}
}

// find returns the newest record of a token.
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

// mayHaveForgotten reports whether a change without a record may have been accepted all the same. A
// change on version v makes a version above v, and all those above forgottenVersion have records.
func (r *idempotencyRecords) mayHaveForgotten(put *wire.Put) bool {
	return r != nil && put.Token != "" && !put.AnyVersion && put.IfVersion < r.forgottenVersion
}

// recordChange remembers a change under its token: among the records of its document, and among the
// newest tokens of all documents, which is what earlier releases go by.
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

// idempotencyRecordsOf returns the records of a document, which it makes if there are none.
func (s *state) idempotencyRecordsOf(key string) *idempotencyRecords {
	if s.idempotency[key] == nil {
		s.idempotency[key] = &idempotencyRecords{}
	}
	return s.idempotency[key]
}

// isRecentToken reports whether a token is among the newest of all documents. Earlier releases change
// nothing then; this is the same rule, so that all members make the same state of the same log.
func (s *state) isRecentToken(token string) bool {
	return token != "" && slices.ContainsFunc(s.recentTokens, func(recent *wire.ChangeToken) bool { return recent.Token == token })
}

// answerRepeated responds to a change whose token is remembered: the same change has its first outcome,
// another one is rejected. It returns nil if the token isn't remembered.
func (s *state) answerRepeated(put *wire.Put) *wire.ChangeResponse {
	record, ok := s.idempotency[put.Key].find(put.Token)
	if ok && record.isSameChange(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: record.version, TokenReuse: "the change was made before"}
	}
	if ok || s.isRecentToken(put.Token) {
		reused := "token " + put.Token + " was used for another change: give each change its own"
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{reused}}
	}
	return nil
}

// answerStaleBase responds to a change whose base isn't the document's version: done if it was accepted
// before, an unknown outcome if its record may have been forgotten, and otherwise a conflict.
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

// saveIdempotency returns the records of all documents, in the order of their keys.
func (s *state) saveIdempotency() (all []*wire.AcceptedChanges) {
	for _, key := range maputil.SortedKeys(s.idempotency) {
		all = append(all, s.idempotency[key].save(key))
	}
	return all
}

func (r *idempotencyRecords) save(key string) *wire.AcceptedChanges {
	saved := &wire.AcceptedChanges{Key: key, ForgottenVersion: r.forgottenVersion}
	for i := range r.records {
		record := &r.records[i]
		saved.Changes = append(saved.Changes, &wire.AcceptedChange{
			Token:          record.tokenHash[:],
			Digest:         record.digest[:],
			Version:        record.version,
			DigestWithBase: record.digestWithBase,
		})
	}
	return saved
}

// loadIdempotency restores the records of a snapshot.
func (s *state) loadIdempotency(all []*wire.AcceptedChanges) {
	if len(all) == 0 {
		s.deriveIdempotency()
		return
	}
	for _, saved := range all {
		records := s.idempotencyRecordsOf(saved.Key)
		records.forgottenVersion = saved.ForgottenVersion
		for _, change := range saved.Changes {
			record := idempotencyRecord{version: change.Version, digestWithBase: change.DigestWithBase}
			copy(record.tokenHash[:], change.Token)
			copy(record.digest[:], change.Digest)
			records.records = append(records.records, record)
		}
	}
}

// deriveIdempotency makes the records for a snapshot of a release that kept none, from the newest
// tokens of all documents. If these are as many as that release kept, older ones were forgotten.
func (s *state) deriveIdempotency() {
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
