package callerproxy

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"pebbleloom/api/caller"
	"pebbleloom/internal/errs"
)

// rejection is an error with a kind (errs.Kind), and the time after which the client may send the request again.
type rejection struct {
	error
	requestID  string
	retryAfter time.Duration
}

// Unwrap returns the underlying error without the request ID and Retry-After.
//
// Example: errs.KindOf(errors.Unwrap(rejection))
func (r rejection) Unwrap() error { return r.error }

// retryAfterJitter, plus half of the Retry-After, is the upper limit of the random delay that is added to every
// Retry-After, so that clients rejected at the same time do not retry at the same time.
const retryAfterJitter = 50 * time.Millisecond

// reject returns a rejection of a kind. It adds random jitter to retryAfter.
func reject(kind *errs.Kind, requestID string, retryAfter time.Duration, format string, arguments ...any) error {
	retryAfter += time.Duration(rand.Int64N(int64(retryAfter)/2 + int64(retryAfterJitter)))
	return rejection{errs.New(kind, format, arguments...), requestID, retryAfter}
}

// withoutNotExecuted returns the rejection to send when an earlier attempt may have been executed: a rejection
// whose kind implies that the request was not executed is replaced by one of kind MayHaveExecuted.
func withoutNotExecuted(err error, mayHaveExecuted bool) error {
	var rejected rejection
	if !mayHaveExecuted || !errors.As(err, &rejected) {
		return err
	}
	switch errs.KindOf(rejected.error) {
	case errs.DeadlineExceeded, errs.MayHaveExecuted:
		return err
	}
	replacement := errs.New(errs.MayHaveExecuted, "an earlier attempt may have been executed; the request was then rejected: %v", rejected.error)
	return rejection{replacement, rejected.requestID, rejected.retryAfter}
}

// NewError converts an error of Answer to the error response defined in api/caller.yaml, and counts the rejection by
// its kind.
//
// Example: p.NewError(ctx, errs.New(errs.BadKey, "tenant key is not in the current configuration"))
func (p *Proxy) NewError(_ context.Context, err error) *caller.DeniedStatusCodeWithHeaders {
	response := errorResponse(err)
	p.process.Meter.Rejected(errs.KindNamed(response.Response.Kind))
	return response
}

// errorResponse builds the error response for an error; a rejection also has a request ID and Retry-After.
func errorResponse(err error) *caller.DeniedStatusCodeWithHeaders {
	kind := errs.KindOf(err)
	var rejected rejection
	isRejection := errors.As(err, &rejected)
	if isRejection {
		kind = errs.KindOf(rejected.error)
	}
	response := &caller.DeniedStatusCodeWithHeaders{
		StatusCode: kind.HTTPStatus,
		Response:   caller.Denial{Kind: kind.Name, Message: err.Error(), Remedy: kind.Remedy},
	}
	if isRejection {
		response.Response.RequestID = caller.NewOptString(rejected.requestID)
	}
	if isRejection && rejected.retryAfter > 0 {
		response.Response.RetryAfterMs = int(rejected.retryAfter.Milliseconds())
		response.RetryAfter = caller.NewOptInt(int(math.Ceil(rejected.retryAfter.Seconds())))
	}
	return response
}

// handleRequestError handles errors outside of Answer: it sends an error response for a request that cannot be
// decoded, and aborts the connection of a response that has already started.
func handleRequestError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	if writer, ok := ctx.Value(flushingWriter{}).(*flushingWriter); ok && writer.headerWritten {
		panic(http.ErrAbortHandler) // abort the connection, so that the client notices the incomplete response
	}
	kind := errs.BadInput
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		kind = errs.TooLarge
	} else if ogenerrors.ErrorCode(err) >= http.StatusInternalServerError {
		kind = errs.Internal
	}
	response := errorResponse(errs.WrapAs(err, kind, "request"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.StatusCode)
	_ = json.NewEncoder(w).Encode(&response.Response) // encoding fails only if the client has disconnected
}
