package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// If the settings name an operators' key, every request without it is rejected, and the rejection
// doesn't reveal the key; if they name none, all requests pass.
func TestOperatorKeyIsRequired(t *testing.T) {
	const key = "a-key-of-16-letters-or-more"
	for _, test := range []struct {
		name             string
		required, header string
		passes           bool
	}{
		{"no key required, none sent", "", "", true},
		{"no key required, one sent", "", "any", true},
		{"none sent", key, "", false},
		{"another sent", key, "another", false},
		{"a longer one sent", key, key + "x", false},
		{"the key sent", key, key, true},
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
			t.Errorf("%s: passed %v", test.name, passed)
		}
		body := response.Body.String()
		if !passed && (response.Code != 401 || !strings.Contains(body, `"kind":"bad-operator-key"`) || strings.Contains(body, key)) {
			t.Errorf("%s: %d %s", test.name, response.Code, body)
		}
	}
}
