package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Where the settings name an operators' key, nothing of the operator's API is done or told
// without it; where they name none, all is as it was.
func TestOperatorsKey(t *testing.T) {
	const key = "a-key-of-16-letters-or-more"
	for _, x := range []struct {
		set, shown string
		in         bool
	}{{"", "", true}, {"", "any", true}, {key, "", false}, {key, "another", false}, {key, key + "x", false}, {key, key, true}} {
		in := false
		h := keyed(x.set, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { in = true }))
		r := httptest.NewRequest("POST", "/v1/setup", strings.NewReader("{}"))
		if x.shown != "" {
			r.Header.Set(KeyHead, x.shown)
		}
		w := httptest.NewRecorder()
		if h.ServeHTTP(w, r); in != x.in || !in && (w.Code != 401 || !strings.Contains(w.Body.String(), `"kind":"bad-operator-key"`) || strings.Contains(w.Body.String(), key)) {
			t.Errorf("%+v: let in %v, %d %s", x, in, w.Code, w.Body)
		}
	}
}
