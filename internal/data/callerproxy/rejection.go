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

// rejection is a typed error (errs.Kind) with the time after which the caller may send the request again.
type rejection struct {
	error
	requestID  string
	retryAfter time.Duration
}

// Unwrap returns the error without the request.
//
// Example: errs.KindOf(errors.Unwrap(rejection))
func (r rejection) Unwrap() error { return r.error }

// retryJitter and half of the Retry-After are the most by which a Retry-After is lengthened at random, so that
// callers that were rejected together don't come back together.
const retryAfterJitter = 50 * time.Millisecond

func reject(kind *errs.Kind, requestID string, retryAfter time.Duration, format string, arguments ...any) error {
	retryAfter += time.Duration(rand.Int64N(int64(retryAfter)/2 + int64(retryAfterJitter)))
	return rejection{errs.New(kind, format, arguments...), requestID, retryAfter}
}

// withholdNotExecuted turns a rejection that says that nothing was executed into one that says that the
// request may have been, if an earlier attempt may have been.
func withoutNotExecuted(err error, mayHaveExecuted bool) error {
	var rejected rejection
	if !mayHaveExecuted || !errors.As(err, &rejected) {
		return err
	}
	switch errs.KindOf(rejected.error) {
	case errs.DeadlineExceeded, errs.MayHaveExecuted:
		return err
	}
	replacement := errs.New(errs.MayHaveExecuted, "an earlier attempt may have been executed; then: %v", rejected.error)
	return rejection{replacement, rejected.requestID, rejected.retryAfter}
}

// NewError converts an error of Answer to the response that api/caller.yaml defines.
//
// Example: p.NewError(ctx, errs.New(errs.BadKey, "the key is not in force"))
func (p *Proxy) NewError(_ context.Context, err error) *caller.DeniedStatusCodeWithHeaders {
	response := errorResponse(err)
	p.process.Meter.Rejected(errs.KindNamed(response.Response.Kind))
	return response
}

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

// handleRequestError answers a request that never reached Answer, and aborts a response that has started.
func handleRequestError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	if writer, ok := ctx.Value(flushingWriter{}).(*flushingWriter); ok && writer.headerWritten {
		panic(http.ErrAbortHandler) // the caller must see that the stream is incomplete
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
	_ = json.NewEncoder(w).Encode(&response.Response) // fails only if the caller has disconnected
}
