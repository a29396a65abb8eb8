package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// If the settings name an operators' key, the operator's API rejects every request
// without it; if they name none, all requests pass.
func TestOperatorKeyIsRequired(t *testing.T) {
	const key = "a-key-of-16-letters-or-more"
	for _, x := range []struct {
		set, shown string
		in         bool
	}{{"", "", true}, {"", "any", true}, {key, "", false}, {key, "another", false}, {key, key + "x", false}, {key, key, true}} {
		in := false
		h := requireKey(x.set, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { in = true }))
		r := httptest.NewRequest("POST", "/v1/setup", strings.NewReader("{}"))
		if x.shown != "" {
			r.Header.Set(KeyHeader, x.shown)
		}
		w := httptest.NewRecorder()
		if h.ServeHTTP(w, r); in != x.in || !in && (w.Code != 401 || !strings.Contains(w.Body.String(), `"kind":"bad-operator-key"`) || strings.Contains(w.Body.String(), key)) {
			t.Errorf("%+v: let in %v, %d %s", x, in, w.Code, w.Body)
		}
	}
}
