package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A site with an operator key rejects every request without that key, and the response doesn't reveal the
// key; a site without one admits all requests.
func TestOperatorKeyIsRequired(t *testing.T) {
	const key = "a-key-of-16-letters-or-more"
	for _, test := range []struct {
		name             string
		required, header string
		passes           bool
	}{
		{"no key required, no key sent", "", "", true},
		{"no key required, a key sent", "", "any", true},
		{"key required, no key sent", key, "", false},
		{"key required, a different key sent", key, "another", false},
		{"key required, the key plus a suffix sent", key, key + "x", false},
		{"key required, the key sent", key, key, true},
	} {
		passed := false
		handler := requireKey(test.required, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true }))
		request := httptest.NewRequest("POST", "/v1/setup", strings.NewReader("{}"))
		if test.header != "" {
			request.Header.Set(KeyHeader, test.header)
		}
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		if passed != test.passes {
			t.Errorf("%s: request reached the handler: got %v, want %v", test.name, passed, test.passes)
		}
		body := response.Body.String()
		if !passed && (response.Code != 401 || !strings.Contains(body, `"kind":"bad-operator-key"`) || strings.Contains(body, key)) {
			t.Errorf("%s: rejected with status %d and body %s, want status 401 and kind bad-operator-key without the key", test.name, response.Code, body)
		}
	}
}
