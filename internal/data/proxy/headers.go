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
	ID        string // of the attempt; goes both ways unchanged
	Left      string // how much longer the client waits, and the worker may work
	Tenant    string // whose key it was, sent to the worker
	Expected  string // the life of a worker that alone may run the request
	Version   string // of weights that alone may run the request
	Urgency   string
	Salt      string // the text under which parts of prompts are kept
	Fetch     string // where the worker takes missing parts from
	Save      string // where it hands parts to
	Model     string
	Usage     string // tokens of the prompt, and most put out
	Parts     string // of the prompt
	LastEvent string // of a stream that is taken up again
	NotRun    string // on an answer: the worker did not run the request
	Seal      string // on an answer: the worker's stamp
	Load      string // on an answer
	Weights   string // on an answer: the version that the worker serves
	Scheme    string // before the key in Authorization

	ReadLeft  func(v string) (time.Duration, bool)
	WriteLeft func(left time.Duration) string
	ReadUsage func(v string) (in, out int)
	ReadParts func(v string) []selection.PromptPart
	ReadLoad  func(v string) (selection.Load, bool)
}

// hop are the fields that concern one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// ours are the fields that only this machine may set towards a worker.
func (h *Headers) ours() []string {
	return []string{"Authorization", h.Tenant, h.Expected, h.Urgency, h.Salt, h.Fetch, h.Save, h.Left}
}

// stays are fields that no Connection field can make fields of one connection.
func (h *Headers) stays() []string {
	return []string{h.ID, h.Version, h.Model, h.Usage, h.Parts, h.LastEvent, h.NotRun, h.Seal, h.Load, h.Weights,
		"Host", "Content-Length", "Content-Type", "Content-Encoding"}
}

// carried copies a header without what concerns one connection only.
func (h *Headers) carried(from http.Header) http.Header {
	to := make(http.Header, len(from)+8)
	for k, v := range from {
		to[k] = v
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.TrimString(name)
			if !strings.EqualFold(name, "keep-alive") && !h.mustStay(name) {
				to.Del(name)
			}
		}
	}
	for _, k := range hop {
		delete(to, k)
	}
	return to
}

func (h *Headers) mustStay(name string) bool {
	for _, s := range h.stays() {
		if strings.EqualFold(s, name) {
			return true
		}
	}
	return false
}

// towards is the header that goes to a worker with this choice. What a client may not say
// itself is gone, whatever it sent.
func (q *request) towards(c selection.Choice, left time.Duration) http.Header {
	h := &q.d.Headers
	to := h.carried(q.r.Header)
	for _, k := range h.ours() {
		to.Del(k)
	}
	set := func(k, v string) {
		if v != "" {
			to.Set(k, v)
		}
	}
	set(h.Left, h.WriteLeft(left))
	set(h.Expected, c.Worker.ID)
	set(h.Salt, c.Salt)
	set(h.Fetch, c.Fetch)
	set(h.Save, c.Save)
	if q.ask.Tenant != nil {
		set(h.Tenant, q.ask.Tenant.Name)
	}
	if c.Urgency >= 0 {
		set(h.Urgency, strconv.Itoa(c.Urgency))
	}
	if c.Weights != 0 {
		set(h.Version, strconv.FormatUint(c.Weights, 10))
	}
	if q.events != nil && q.events.last != "" {
		set(h.LastEvent, q.events.last)
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

// key is what the client shows.
func (h *Headers) key(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, h.Scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// retryAfter is a wait in seconds, with fractions.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}
