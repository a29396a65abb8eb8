package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"pebbleloom/internal/data/selection"
)

// Headers are the platform's names of header fields, and the forms of their values. The adapter
// gives them; every one has to be set.
type Headers struct {
	ID               string // of the attempt; goes both ways unchanged
	TimeRemaining    string // how much longer the client waits, and the worker may work
	Tenant           string // whose key it was, sent to the worker
	ExpectedInstance string // the life of a worker that alone may run the request
	ExpectedVersion  string // of weights that alone may run the request
	Priority         string
	CacheSalt        string // the text under which parts of prompts are kept
	FetchFrom        string // where the worker takes missing parts from
	SaveTo           string // where it hands parts to
	Model            string
	TokenUsage       string // tokens of the prompt, and most put out
	PromptParts      string // of the prompt
	LastEventID      string // of a stream that is taken up again
	NotExecuted      string // on an answer: the worker did not run the request
	Seal             string // on an answer: the worker's stamp
	Load             string // on an answer
	WeightVersions   string // on an answer: the version that the worker serves
	AuthScheme       string // before the key in Authorization

	ParseTimeRemaining  func(v string) (time.Duration, bool)
	FormatTimeRemaining func(left time.Duration) string
	ParseTokenUsage     func(v string) (in, out int)
	ParsePromptParts    func(v string) []selection.PromptPart
	ParseLoad           func(v string) (selection.Load, bool)
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// proxyOnly are the fields that only this machine may set towards a worker.
func (h *Headers) proxyOnly() []string {
	return []string{"Authorization", h.Tenant, h.ExpectedInstance, h.Priority, h.CacheSalt, h.FetchFrom, h.SaveTo, h.TimeRemaining}
}

// endToEnd are fields that no Connection field can make fields of one connection.
func (h *Headers) endToEnd() []string {
	return []string{h.ID, h.ExpectedVersion, h.Model, h.TokenUsage, h.PromptParts, h.LastEventID, h.NotExecuted, h.Seal, h.Load, h.WeightVersions,
		"Host", "Content-Length", "Content-Type", "Content-Encoding"}
}

// withoutHopByHop copies a header without what concerns one connection only.
func (h *Headers) withoutHopByHop(from http.Header) http.Header {
	to := make(http.Header, len(from)+8)
	for k, v := range from {
		to[k] = v
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.TrimString(name)
			if !strings.EqualFold(name, "keep-alive") && !h.isEndToEnd(name) {
				to.Del(name)
			}
		}
	}
	for _, k := range hopByHop {
		delete(to, k)
	}
	return to
}

func (h *Headers) isEndToEnd(name string) bool {
	for _, s := range h.endToEnd() {
		if strings.EqualFold(s, name) {
			return true
		}
	}
	return false
}

// workerHeader is the header that goes to a worker with this choice. What a client may not say
// itself is gone, whatever it sent.
func (q *request) workerHeader(c selection.Choice, left time.Duration) http.Header {
	h := &q.server.Headers
	to := h.withoutHopByHop(q.incoming.Header)
	for _, k := range h.proxyOnly() {
		to.Del(k)
	}
	set := func(k, v string) {
		if v != "" {
			to.Set(k, v)
		}
	}
	set(h.TimeRemaining, h.FormatTimeRemaining(left))
	set(h.ExpectedInstance, c.Worker.ID)
	set(h.CacheSalt, c.Salt)
	set(h.FetchFrom, c.Fetch)
	set(h.SaveTo, c.Save)
	if q.selection.Tenant != nil {
		set(h.Tenant, q.selection.Tenant.Name)
	}
	if c.Urgency >= 0 {
		set(h.Priority, strconv.Itoa(c.Urgency))
	}
	if c.Weights != 0 {
		set(h.ExpectedVersion, strconv.FormatUint(c.Weights, 10))
	}
	if q.events != nil && q.events.lastID != "" {
		set(h.LastEventID, q.events.lastID)
	}
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = nil // net/http would add its own
	}
	if len(q.body) == 0 && !q.chunked {
		// net/http repeats requests with these by itself; under names that it doesn't look for it
		// leaves them alone, and on the wire they are the same.
		for _, k := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
			if v, ok := to[k]; ok {
				delete(to, k)
				to[strings.ToLower(k)] = v
			}
		}
	}
	return to
}

// bearerKey is what the client shows.
func (h *Headers) bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, h.AuthScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// formatRetryAfter is a wait in seconds, with fractions.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}
