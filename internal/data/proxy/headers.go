package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"pebbleloom/internal/data/selection"
)

// Headers holds the names of the platform's HTTP header fields, and functions that parse and format their values.
// The platform's adapter provides it; all its fields are required. Unless noted, they are request fields.
// A prompt part is a section of a prompt that workers cache as a unit.
type Headers struct {
	ID               string // request ID; forwarded unchanged in request and response
	TimeRemaining    string // time until the client's deadline
	Tenant           string // name of the tenant whose API key the client presented; set by the proxy
	ExpectedInstance string // ID of the selected worker; any other worker must reject the request
	ExpectedVersion  string // version of the model weights that the worker must use to execute the request
	Priority         string // priority of the request, 0 to 9; 0 is the most urgent
	CacheSalt        string // salt of the cache keys of prompt parts; it keeps apart the entries of different models, weights versions and isolated tenants
	FetchFrom        string // address from which the worker fetches cached prompt parts that it lacks
	SaveTo           string // address of the store to which the worker saves the prompt parts that it has cached
	Model            string // name of the requested model
	TokenUsage       string // number of prompt tokens and maximum number of output tokens
	PromptParts      string // IDs and token counts of the prompt's consecutive parts, each of which can be cached
	LastEventID      string // ID of the event after which a stream is resumed
	NotExecuted      string // response field: present if the worker didn't execute the request
	Seal             string // response field: the worker's signature; a 2xx response without it isn't relayed
	Load             string // response field: numbers of running requests, waiting requests and slots of the worker
	WeightVersions   string // response field: the version of the model weights that the worker serves
	AuthScheme       string // authentication scheme before the API key in the Authorization field

	ParseTimeRemaining  func(value string) (remaining time.Duration, ok bool)
	FormatTimeRemaining func(remaining time.Duration) string
	ParseTokenUsage     func(value string) (promptTokens, maxOutputTokens int)
	ParsePromptParts    func(value string) []selection.PromptPart
	ParseLoad           func(value string) (load selection.Load, ok bool)
}

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section 7.6.1), and Expect,
// which net/http handles itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// idempotencyKeys lists the header fields whose presence makes net/http treat a request as idempotent.
var idempotencyKeys = []string{"Idempotency-Key", "X-Idempotency-Key"}

// proxyOnly lists the request header fields that only the proxy may set, and Authorization, which workers must not
// see.
func (h *Headers) proxyOnly() []string {
	return []string{"Authorization", h.Tenant, h.ExpectedInstance, h.Priority, h.CacheSalt, h.FetchFrom, h.SaveTo, h.TimeRemaining}
}

// endToEnd lists the header fields that are forwarded even if the Connection field names them: otherwise a client
// could suppress them by declaring them hop-by-hop.
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

// withoutHopByHop returns a copy of a header without the hop-by-hop fields. The value slices are shared.
func (h *Headers) withoutHopByHop(from http.Header) http.Header {
	const added = 8 // spare capacity for header fields that the caller adds
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

// workerHeader returns the header of the request to the selected worker. Values that the client sent for fields
// that only the proxy may set are removed.
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
		header["User-Agent"] = nil // a nil value keeps net/http from adding a User-Agent of its own
	}
	if req.body.length == 0 && !req.chunked {
		hideIdempotencyKeys(header)
	}
	return header
}

// setChoice sets the request header fields that pass the selector's choice (the worker, its model weights, the prompt
// cache addresses and the priority) on to the worker.
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

// hideIdempotencyKeys keeps net/http from resending a request without a body on its own. net/http looks for the
// idempotency fields under their canonical names only, so they are stored in lower case. Field names are
// case-insensitive on the wire.
func hideIdempotencyKeys(header http.Header) {
	for _, name := range idempotencyKeys {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// bearerKey returns the API key that the client presents, or "" if there is none.
func (h *Headers) bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, h.AuthScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// formatRetryAfter formats a Retry-After value in seconds with three decimals, at least 0.001.
func formatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(max(wait, time.Millisecond).Seconds(), 'f', 3, 64)
}
