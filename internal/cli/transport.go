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

// keyTransport adds the operators' key to every call.
type keyTransport struct {
	key  string
	base http.RoundTripper
}

// RoundTrip sends a call with the key.
//
// Example: h := &http.Client{Transport: keyTransport{key, http.DefaultTransport}}
func (s keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.key != "" {
		r = r.Clone(r.Context())
		r.Header.Set(operatorapi.KeyHeader, s.key)
	}
	return s.base.RoundTrip(r)
}

func operatorKey(inv *invocation) (string, error) {
	if inv.keyFile == "" {
		return os.Getenv("PEBBLELOOM_KEY"), nil
	}
	raw, err := os.ReadFile(inv.keyFile)
	return strings.TrimSpace(string(raw)), errs.WrapAs(err, errs.BadInput, "--operator-key")
}

// typedError restores the kind of an error in a response.
func typedError(err error, node string) error {
	var d *operator.DeniedStatusCode
	if errors.As(err, &d) {
		return errs.New(errs.KindNamed(d.Response.Kind), "%s", d.Response.Message)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.New(errs.OutcomeUnknown, "node %s can't be reached: name another with --node", node)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errs.New(errs.MayHaveExecuted, "node %s gave no answer in time", node)
	}
	if strings.Contains(err.Error(), "decode response: ") || strings.Contains(err.Error(), "malformed HTTP") {
		return errs.WrapAs(err, errs.BadInput, "--node "+node+": something else answers there: give an operator address, as `pebblectl nodes` lists them (on a platform site: a core machine's third internal port)")
	}
	if u := (*url.Error)(nil); errors.As(err, &u) {
		return errs.WrapAs(err, errs.MayHaveExecuted, "node "+node+" broke off")
	}
	if errs.KindOf(err) == errs.Internal && strings.Contains(err.Error(), "encode request: validate") {
		return errs.WrapAs(err, errs.BadInput, "command")
	}
	return err
}
