package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/errs"
)

// keyTransport adds the operators' API key to every request.
type keyTransport struct {
	key  string
	base http.RoundTripper
}

// RoundTrip sends a request with the operators' API key, if there is one, in its header.
//
// Example: h := &http.Client{Transport: keyTransport{key, http.DefaultTransport}}
func (s keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.key != "" {
		r = r.Clone(r.Context())
		r.Header.Set(operatorapi.KeyHeader, s.key)
	}
	return s.base.RoundTrip(r)
}

// operatorKey reads the operators' API key from the file that --operator-key names, or from PEBBLELOOM_KEY.
func operatorKey(inv *invocation) (string, error) {
	if inv.keyFile == "" {
		return os.Getenv("PEBBLELOOM_KEY"), nil
	}
	raw, err := os.ReadFile(inv.keyFile)
	return strings.TrimSpace(string(raw)), errs.WrapAs(err, errs.BadInput, "read --operator-key")
}

// typedError converts an error of an API call to one with a kind: that in the node's response or, without a
// response, one that says whether the call may have taken effect.
func typedError(err error, node string) error {
	var rejection *operator.DeniedStatusCode
	if errors.As(err, &rejection) {
		return errs.New(errs.KindNamed(rejection.Response.Kind), "%s", rejection.Response.Message)
	}
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		return errs.New(errs.OutcomeUnknown, "node %s can't be reached: give another with --node", node)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errs.New(errs.MayHaveExecuted, "node %s did not answer within the time limit of the command", node)
	}
	if strings.Contains(err.Error(), "decode response: ") || strings.Contains(err.Error(), "malformed HTTP") {
		return errs.WrapAs(err, errs.BadInput, "--node "+node+": the response isn't from the operator API: give an operator address as listed by `pebblectl nodes` (on a platform site: a core machine, at the third port of its internal range)")
	}
	if u := (*url.Error)(nil); errors.As(err, &u) {
		return errs.WrapAs(err, errs.MayHaveExecuted, "the connection to node "+node+" broke before a complete response")
	}
	if errs.KindOf(err) == errs.Internal && strings.Contains(err.Error(), "encode request: validate") {
		return errs.WrapAs(err, errs.BadInput, "command")
	}
	return err
}
