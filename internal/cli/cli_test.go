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
	"pebbleloom/internal/programs"
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
		"config":                         2,
		"config fly":                     2,
		"nodes --odd":                    2,
		"config apply":                   2,
		"config apply --file /none":      2,
		"config patch --file -":          2, // what comes in isn't JSON
		"config validate":                2,
		"config diff":                    2,
		"config render":                  2,
		"config apply --if-epoch x":      2,
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
		"config get":    8,
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
			t.Errorf("pebblectl %s: exit %d, want %d; %q %q", args, got, code, out, bad)
		}
		if got, _, bad = run("{not json", append(a, "--json")...); got != code {
			t.Errorf("pebblectl %s --json: exit %d, want %d; %q", args, got, code, bad)
		} else {
			var d struct{ Kind, Message, Remedy string }
			if err := json.Unmarshal([]byte(bad), &d); err != nil || d.Kind == "" || d.Remedy == "" {
				t.Errorf("pebblectl %s --json: %q: %v", args, bad, err)
			}
		}
	}
}

// What a node rejects comes back under its kind, with that kind's exit code.
func TestRejectionsKeepTheirKind(t *testing.T) {
	for _, k := range errs.Kinds() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(k.HTTPStatus)
			fmt.Fprintf(w, `{"kind":%q,"message":"m","remedy":"r"}`, k.Name)
		}))
		if code, _, bad := run("", "--node", s.Listener.Addr().String(), "config", "get"); code != k.ExitCode || !strings.Contains(bad, k.Remedy) {
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
	code, out, bad := run("", "config", "render", "--file", f, "--overlay", o, "--set", "w=5")
	if code != 0 || !strings.Contains(out, "parameter w") || !strings.Contains(out, "overlay "+o) {
		t.Errorf("exit %d: %s%s", code, out, bad)
	}
	if code, out, _ = run("", "runbook", "list"); code != 0 || !strings.Contains(out, "disk-lost") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// --if-epoch is --if-version by its first name.
func TestFirstNameOfIfVersionSetsTheSame(t *testing.T) {
	for _, flag := range []string{"--if-version", "--if-epoch", "-e"} {
		inv := &invocation{ifVersion: -1}
		if _, err := parseCommand([]string{"config", "apply", "--file", "-", flag, "7"}, inv); err != nil || inv.ifVersion != 7 {
			t.Errorf("%s sets %d, %v", flag, inv.ifVersion, err)
		}
	}
}

// Commands that were renamed answer by their first names as before, and say what to use.
func TestFirstNamesOfCommandsAnswerAsBefore(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"epoch":7,"setup":{"version":7},"outcome":"done"}`)
	}))
	defer node.Close()
	for _, renamed := range programs.Commands() {
		for _, c := range commands() {
			group, command, _ := strings.Cut(c.path, " ")
			if group != renamed.Name {
				continue
			}
			for _, flags := range []string{"", "--file -", "--file - --if-epoch 3 --token t", "--odd"} {
				t.Run(command+" "+flags, func(t *testing.T) {
					arguments := append([]string{"--node", node.Listener.Addr().String()}, strings.Fields(flags)...)
					code, out, bad := run(`{"version":8}`, append([]string{renamed.Name, command}, arguments...)...)
					firstCode, firstOut, firstBad := run(`{"version":8}`, append([]string{renamed.First, command}, arguments...)...)
					if firstCode != code || firstOut != out {
						t.Errorf("exit %d and %q by the first name, %d and %q by the present one", firstCode, firstOut, code, out)
					}
					if !strings.HasSuffix(firstBad, bad) || flags != "--odd" && !strings.Contains(firstBad, "`"+c.path+"`") {
						t.Errorf("%q by the first name doesn't say what to use; %q by the present one", firstBad, bad)
					}
					_, _, bad = run(`{"version":8}`, append([]string{renamed.Name, command, "--json"}, arguments...)...)
					if _, _, firstBad = run(`{"version":8}`, append([]string{renamed.First, command, "--json"}, arguments...)...); firstBad != bad {
						t.Errorf("with --json: %q by the first name, %q by the present one", firstBad, bad)
					}
				})
			}
		}
	}
}
