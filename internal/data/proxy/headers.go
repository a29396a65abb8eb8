package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"pebbleloom/internal/data/selection"
)

// Headers names the platform's header fields, and converts their values. The platform's adapter fills it in;
// every field has to be set. Unless noted, a field is one of the request.
type Headers struct {
	ID               string // of the attempt; forwarded unchanged both ways
	TimeRemaining    string // until the client's deadline
	Tenant           string // whose key the client presented; set for the worker
	ExpectedInstance string // ID of the only worker that may execute the request
	ExpectedVersion  string // the only version of the weights that may execute it
	Priority         string // 0 to 9, 0 first
	CacheSalt        string // cache domain of the prompt's parts
	FetchFrom        string // address from which the worker fetches missing parts
	SaveTo           string // address to which it saves parts
	Model            string
	TokenUsage       string // tokens of the prompt, and the output limit
	PromptParts      string // IDs and sizes of the prompt's parts, in order
	LastEventID      string // of a stream that is resumed
	NotExecuted      string // of the response: present if the worker didn't execute the request
	Seal             string // of the response: the worker's signature
	Load             string // of the response: the worker's running and waiting requests and slots
	WeightVersions   string // of the response: the version that the worker serves
	AuthScheme       string // that precedes the key in Authorization

	ParseTimeRemaining  func(value string) (remaining time.Duration, ok bool)
	FormatTimeRemaining func(remaining time.Duration) string
	ParseTokenUsage     func(value string) (promptTokens, maxOutputTokens int)
	ParsePromptParts    func(value string) []selection.PromptPart
	ParseLoad           func(value string) (load selection.Load, ok bool)
}

// hopByHop are the fields that concern a single connection (RFC 9110, section 7.6.1), and Expect, which
// net/http has answered itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// idempotencyKeys are fields by which net/http takes a request for idempotent.
var idempotencyKeys = []string{"Idempotency-Key", "X-Idempotency-Key"}

// proxyOnly lists the fields that only this node may set in a request to a worker.
func (h *Headers) proxyOnly() []string {
	return []string{"Authorization", h.Tenant, h.ExpectedInstance, h.Priority, h.CacheSalt, h.FetchFrom, h.SaveTo, h.TimeRemaining}
}

// endToEnd lists fields that a Connection field can't declare hop-by-hop: a client could suppress them so.
func (h *Headers) endToEnd() []string {
	return []string{h.ID, h.ExpectedVersion, h.Model, h.TokenUsage, h.PromptParts, h.LastEventID, h.NotExecuted, h.Seal, h.Load, h.WeightVersions,
		"Host", "Content-Length", "Content-Type", "Content-Encoding"}
}

func (h *Headers) isEndToEnd(name string) bool {
	for _, field := range h.endToEnd() {
		if strings.EqualFold(field, name) {
			return true
		}
	}
	return false
}

// withoutHopByHop copies a header without the hop-by-hop fields. The values are shared.
func (h *Headers) withoutHopByHop(from http.Header) http.Header {
	const added = 8 // fields that the caller may add without growing the map
	to := make(http.Header, len(from)+added)
	for name, values := range from {
		to[name] = values
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.TrimString(name)
			if !strings.EqualFold(name, "keep-alive") && !h.isEndToEnd(name) {
				to.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
	return to
}

// workerHeader is the header of the request to the selected worker. Fields that only this node may set are
// never the client's.
func (req *request) workerHeader(choice selection.Choice, remaining time.Duration) http.Header {
	headers := &req.server.Headers
	header := headers.withoutHopByHop(req.incoming.Header)
	for _, name := range headers.proxyOnly() {
		header.Del(name)
	}
	req.setChoice(header, choice)
	setIfAny(header, headers.TimeRemaining, headers.FormatTimeRemaining(remaining))
	if req.selection.Tenant != nil {
		setIfAny(header, headers.Tenant, req.selection.Tenant.Name)
	}
	if req.events != nil {
		setIfAny(header, headers.LastEventID, req.events.lastID)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http would add its own
	}
	if len(req.body) == 0 && !req.chunked {
		hideIdempotencyKeys(header)
	}
	return header
}

// setChoice sets the fields by which the worker learns what the selector decided.
func (req *request) setChoice(to http.Header, choice selection.Choice) {
	headers := &req.server.Headers
	setIfAny(to, headers.ExpectedInstance, choice.Worker.ID)
	setIfAny(to, headers.CacheSalt, choice.Salt)
	setIfAny(to, headers.FetchFrom, choice.Fetch)
	setIfAny(to, headers.SaveTo, choice.Save)
	if choice.Urgency >= 0 {
		setIfAny(to, headers.Priority, strconv.Itoa(choice.Urgency))
	}
	if choice.Weights != 0 {
		setIfAny(to, headers.ExpectedVersion, strconv.FormatUint(choice.Weights, 10))
	}
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// hideIdempotencyKeys keeps net/http from sending a request without a body again by itself: it looks for
// these fields under their canonical names only. On the wire names are the same in any case.
func hideIdempotencyKeys(header http.Header) {
	for _, name := range idempotencyKeys {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// bearerKey returns the key that the client presents; "" if none.
func (h *Headers) bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, h.AuthScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// formatRetryAfter formats a Retry-After value: seconds, with three decimals.
func formatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(max(wait, time.Millisecond).Seconds(), 'f', 3, 64)
}
