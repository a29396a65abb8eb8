package operatorapi

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

// KeyHeader is the HTTP request header that carries the operators' API key.
const KeyHeader = "X-Operator-Key"

// requireKey rejects requests that don't carry the operators' API key; an empty key admits all requests.
func requireKey(key string, next http.Handler) http.Handler {
	if key == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(KeyHeader)), []byte(key)) == 1 {
			next.ServeHTTP(w, r)
			return
		}
		kind := errs.BadOperatorKey
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(kind.HTTPStatus)
		rejection := operator.Denial{Kind: kind.Name, Message: "the " + KeyHeader + " header is missing or doesn't match this site's operator key", Remedy: kind.Remedy}
		_ = json.NewEncoder(w).Encode(rejection) // the client may have disconnected
	})
}
