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

// Limits of the idempotency records, which identify repeated requests for a change. An operator may retry a change
// at any later time, so the limits cover several days of changes. Each document has its own limit, so that
// frequent changes of one document do not evict the records of another.
const (
	configChangesPerDay = 1200                    // configuration changes expected per day in a site of the target size
	maxConfigRecords    = 3 * configChangesPerDay // maximum number of records of a configuration document: three days of changes
	maxDocumentRecords  = maxRecentTokens         // maximum number of records of any other document
	tokenHashBytes      = 16                      // number of bytes of a token's hash that are stored in a record
	digestBytes         = 8                       // number of bytes of a change's digest that are stored in a record
)

// idempotencyRecord describes an accepted change whose request carried an idempotency token. It stores a prefix of
// the token's hash in place of the token, so that all records have the same size.
type idempotencyRecord struct {
	tokenHash      [tokenHashBytes]byte
	digest         [digestBytes]byte
	version        uint64 // version of the document that the change produced
	digestWithBase bool   // whether digest is Put.digest, which covers the base version, as for changes by releases without content digests
}

// idempotencyRecords are the idempotency records of one document, oldest first. Invariant: they contain every
// change with a token that produced a document version above forgottenVersion.
type idempotencyRecords struct {
	forgottenVersion uint64
	records          []idempotencyRecord
}

// maxRecords returns the maximum number of idempotency records of a document.
func maxRecords(key string) int {
	if key == routingconfig.DocumentKey || key == controlclient.ConfigKey {
		return maxConfigRecords
	}
	return maxDocumentRecords
}

// hashToken returns the prefix of an idempotency token's SHA-256 hash that is stored in place of the token.
func hashToken(token string) (hash [tokenHashBytes]byte) {
	sum := sha256.Sum256([]byte(token))
	copy(hash[:], sum[:])
	return hash
}

// contentDigest identifies a change by its content, regardless of its base version: a change that is retried under
// the same idempotency token, but based on a later version, is still the same change.
func contentDigest(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %v ", put.Key, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)[:digestBytes]
}

// requestDigest identifies a change by its content and its base version. It is still written to the log because
// releases without content digests identify a repeated change by this digest alone.
func requestDigest(put *wire.Put, patch bool) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %d %v %v ", put.Key, put.IfVersion, put.AnyVersion, patch)
	hash.Write(put.Body)
	return hash.Sum(nil)
}

// newIdempotencyRecord returns the idempotency record of a change that produced the given version of its document.
func newIdempotencyRecord(put *wire.Put, version uint64) idempotencyRecord {
	record := idempotencyRecord{tokenHash: hashToken(put.Token), version: version}
	digest := put.ContentDigest
	if len(digest) == 0 {
		digest, record.digestWithBase = put.Digest, true
	}
	copy(record.digest[:], digest)
	return record
}

// isSameChange reports whether a request with the same idempotency token is a retry of the recorded change, not a
// different change.
func (r *idempotencyRecord) isSameChange(put *wire.Put) bool {
	digest := put.ContentDigest
	if r.digestWithBase {
		digest = put.Digest
	}
	var start [digestBytes]byte
	copy(start[:], digest)
	return start == r.digest
}

// add appends an idempotency record and evicts the oldest ones above the limit.
func (r *idempotencyRecords) add(record idempotencyRecord, limit int) {
	r.records = append(r.records, record)
	for len(r.records) > limit {
		r.forgottenVersion = r.records[0].version
		r.records = r.records[1:]
	}
}

// find returns the newest idempotency record of a token, if there is one.
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

// mayHaveForgotten reports whether a change that has no idempotency record may have been accepted earlier, with
// its record evicted since. A change based on version v produces a version above v, and all changes that produced
// a version above forgottenVersion still have records.
func (r *idempotencyRecords) mayHaveForgotten(put *wire.Put) bool {
	return r != nil && put.Token != "" && !put.AnyVersion && put.IfVersion < r.forgottenVersion
}

// recordChange records an accepted change under its idempotency token: in the records of its document, and in the
// list of recent tokens of all documents, which is the only one that earlier releases use.
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

// idempotencyRecordsOf returns the idempotency records of a document, and creates an empty list if there is none.
func (s *state) idempotencyRecordsOf(key string) *idempotencyRecords {
	if s.idempotency[key] == nil {
		s.idempotency[key] = &idempotencyRecords{}
	}
	return s.idempotency[key]
}

// isRecentToken reports whether an idempotency token is among the recent tokens of all documents. Earlier releases
// reject or re-acknowledge a change with such a token without applying it. This release has to follow the same
// rule, so that members of both releases compute the same state from the same log.
func (s *state) isRecentToken(token string) bool {
	return token != "" && slices.ContainsFunc(s.recentTokens, func(recent *wire.ChangeToken) bool { return recent.Token == token })
}

// respondToRetry responds to a change whose idempotency token has been used before: a retry of the same change
// gets its first outcome again, and a different change is rejected. It returns nil if the token is not on record.
func (s *state) respondToRetry(put *wire.Put) *wire.ChangeResponse {
	record, ok := s.idempotency[put.Key].find(put.Token)
	if ok && record.isSameChange(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: record.version, TokenReuse: "the change was made before"}
	}
	if ok || s.isRecentToken(put.Token) {
		reused := "idempotency token " + put.Token + " was already used for a different change: use a new token for each change"
		return &wire.ChangeResponse{Outcome: wire.OutcomeBadInput, Errors: []string{reused}}
	}
	return nil
}

// respondToStaleBase responds to a change whose base version is not the current version of its document: like
// respondToRetry if its idempotency token is on record, with an unknown outcome if its record may have been
// evicted, and with a conflict otherwise.
func (s *state) respondToStaleBase(put *wire.Put) *wire.ChangeResponse {
	if response := s.respondToRetry(put); response != nil {
		return response
	}
	version := s.documents[put.Key].GetVersion()
	if s.idempotency[put.Key].mayHaveForgotten(put) {
		return &wire.ChangeResponse{Outcome: wire.OutcomeUnknown, Version: version}
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: version}
}

// saveIdempotency returns the idempotency records of all documents for a snapshot, sorted by document key.
func (s *state) saveIdempotency() (all []*wire.AcceptedChanges) {
	for _, key := range maputil.SortedKeys(s.idempotency) {
		all = append(all, s.idempotency[key].save(key))
	}
	return all
}

// save returns the idempotency records of one document for a snapshot.
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

// loadIdempotency restores the idempotency records of all documents from a snapshot.
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

// deriveIdempotency creates the idempotency records after loading a snapshot of a release that stored none, from
// the recent tokens of all documents. If the list of recent tokens is full, that release may have dropped older
// ones.
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
