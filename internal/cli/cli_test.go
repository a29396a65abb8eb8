package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

func run(in string, args ...string) (code int, out, bad string) {
	var o, b bytes.Buffer
	code = Main(args, strings.NewReader(in), &o, &b)
	return code, o.String(), b.String()
}

// Bad input to every command: a typed message that names a remedy, and a stable exit code.
func TestBadInputToEveryCommand(t *testing.T) {
	for args, code := range map[string]int{
		"":                               2,
		"fly":                            2,
		"setup":                          2,
		"setup fly":                      2,
		"nodes --odd":                    2,
		"setup apply":                    2,
		"setup apply --file /none":       2,
		"setup patch --file -":           2, // what comes in isn't JSON
		"setup validate":                 2,
		"setup diff":                     2,
		"setup render":                   2,
		"setup apply --if-epoch x":       2,
		"weights name":                   2,
		"weights name --model m":         2,
		"keys revoke":                    2,
		"keys revoke --tenant t":         2,
		"drain":                          2,
		"placement show":                 2,
		"index lookup":                   2,
		"index lookup --model m":         2,
		"explain":                        2,
		"calendar write":                 2,
		"calendar check --file -":        2,
		"calendar pause":                 2,
		"calendar undo --service s":      2,
		"runbook run":                    2,
		"runbook run --name none":        4,
		"runbook check --name none":      4,
		"runbook run --name worker-gone": 2, // its parameter is missing
		"runbook run --name worker-gone --set worker=a --set b=c": 2,
		"runbook run --name worker-gone --set worker":             2,
		"runbook run --name store-empty --resume /none":           2,
		"setup get":     8,
		"nodes":         8,
		"workers":       8,
		"status":        8,
		"calendar list": 8,

		"retire":                            2,
		"retire plan":                       2,
		"retire plan --file /none":          2,
		"retire start":                      2,
		"retire pause --service s":          2,
		"retire resume --name n":            2,
		"retire abort":                      2,
		"retire status":                     8,
		"retire history":                    8,
		"retire start --service s --name n": 8,
	} {
		a := append([]string{"--node", "127.0.0.1:1"}, strings.Fields(args)...)
		got, out, bad := run("{not json", a...)
		if got != code || out != "" || !strings.Contains(bad, "remedy") {
			t.Errorf("desk %s: exit %d, want %d; %q %q", args, got, code, out, bad)
		}
		if got, _, bad = run("{not json", append(a, "--json")...); got != code {
			t.Errorf("desk %s --json: exit %d, want %d; %q", args, got, code, bad)
		} else {
			var d struct{ Kind, Message, Remedy string }
			if err := json.Unmarshal([]byte(bad), &d); err != nil || d.Kind == "" || d.Remedy == "" {
				t.Errorf("desk %s --json: %q: %v", args, bad, err)
			}
		}
	}
}

// What a node rejects comes back under its kind, with that kind's exit code.
func TestDenialsKeepTheirKind(t *testing.T) {
	for _, k := range errs.Kinds() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(k.HTTPStatus)
			fmt.Fprintf(w, `{"kind":%q,"message":"m","remedy":"r"}`, k.Name)
		}))
		if code, _, bad := run("", "--node", s.Listener.Addr().String(), "setup", "get"); code != k.ExitCode || !strings.Contains(bad, k.Remedy) {
			t.Errorf("%s: exit %d, want %d; %q", k.Name, code, k.ExitCode, bad)
		}
		s.Close()
	}
}

func TestRenderNeedsNoNode(t *testing.T) {
	d := t.TempDir()
	f, o := filepath.Join(d, "t.json"), filepath.Join(d, "o.json")
	for name, body := range map[string]string{f: `{"params":{"w":"the weights"},"setup":{"models":{"m":{"weights":"{{.w}}"}}}}`, o: `{"wait_max_ms":7000}`} {
		if err := os.WriteFile(name, []byte(body), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	code, out, bad := run("", "setup", "render", "--file", f, "--overlay", o, "--set", "w=5")
	if code != 0 || !strings.Contains(out, "parameter w") || !strings.Contains(out, "overlay "+o) {
		t.Errorf("exit %d: %s%s", code, out, bad)
	}
	if code, out, _ = run("", "runbook", "list"); code != 0 || !strings.Contains(out, "disk-lost") {
		t.Errorf("exit %d: %s", code, out)
	}
}
