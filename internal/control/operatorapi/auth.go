package operatorapi

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

// KeyHeader is the header that carries the operators' key.
const KeyHeader = "X-Operator-Key"

// requireKey rejects requests without the operators' key, if the settings name one.
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
		rejection := operator.Denial{Kind: kind.Name, Message: "the operators' key is missing or another", Remedy: kind.Remedy}
		_ = json.NewEncoder(w).Encode(rejection) // the client may have disconnected
	})
}
