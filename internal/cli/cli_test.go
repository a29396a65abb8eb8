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

func run(in string, args ...string) (code int, out, stderr string) {
	var output, errors bytes.Buffer
	code = Main(args, strings.NewReader(in), &output, &errors)
	return code, output.String(), errors.String()
}

// Every command reports bad input with its stable exit code and an error that has a kind and a remedy.
func TestBadInputToEveryCommand(t *testing.T) {
	for args, code := range map[string]int{
		"":                               2,
		"fly":                            2,
		"config":                         2,
		"config fly":                     2,
		"nodes --odd":                    2,
		"config apply":                   2,
		"config apply --file /none":      2,
		"config patch --file -":          2, // standard input isn't valid JSON
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
		"runbook run --name worker-gone": 2, // the parameter worker of this runbook is missing
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
		got, out, stderr := run("{not json", a...)
		if got != code || out != "" || !strings.Contains(stderr, "remedy") {
			t.Errorf("pebblectl %s: got exit code %d, standard output %q and error %q, want exit code %d, no output and an error with a remedy", args, got, out, stderr, code)
		}
		if got, _, stderr = run("{not json", append(a, "--json")...); got != code {
			t.Errorf("pebblectl %s --json: got exit code %d and error %q, want exit code %d", args, got, stderr, code)
		} else {
			var d struct{ Kind, Message, Remedy string }
			if err := json.Unmarshal([]byte(stderr), &d); err != nil || d.Kind == "" || d.Remedy == "" {
				t.Errorf("pebblectl %s --json: error %q isn't JSON with a kind and a remedy: %v", args, stderr, err)
			}
		}
	}
}

// A command that a node rejects exits with the exit code of the error's kind and prints the kind's remedy.
func TestRejectionsKeepTheirKind(t *testing.T) {
	for _, k := range errs.Kinds() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(k.HTTPStatus)
			fmt.Fprintf(w, `{"kind":%q,"message":"m","remedy":"r"}`, k.Name)
		}))
		if code, _, stderr := run("", "--node", s.Listener.Addr().String(), "config", "get"); code != k.ExitCode || !strings.Contains(stderr, k.Remedy) {
			t.Errorf("response with an error of kind %s: got exit code %d and error %q, want exit code %d and remedy %q", k.Name, code, stderr, k.ExitCode, k.Remedy)
		}
		s.Close()
	}
}

func TestRenderNeedsNoNode(t *testing.T) {
	folder := t.TempDir()
	template, overlay := filepath.Join(folder, "t.json"), filepath.Join(folder, "o.json")
	for name, body := range map[string]string{template: `{"params":{"w":"the weights"},"setup":{"models":{"m":{"weights":"{{.w}}"}}}}`, overlay: `{"wait_max_ms":7000}`} {
		if err := os.WriteFile(name, []byte(body), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	code, out, stderr := run("", "config", "render", "--file", template, "--overlay", overlay, "--set", "w=5")
	if code != 0 || !strings.Contains(out, "parameter w") || !strings.Contains(out, "overlay "+overlay) {
		t.Errorf("config render: got exit code %d and output %s%s, want exit code 0 and the parameter and overlay as origins", code, out, stderr)
	}
	if code, out, _ = run("", "runbook", "list"); code != 0 || !strings.Contains(out, "disk-lost") {
		t.Errorf("runbook list: got exit code %d and output %s, want exit code 0 and runbook disk-lost", code, out)
	}
}

// The former name of the flag --if-version, --if-epoch, sets the same value.
func TestFirstNameOfIfVersionSetsTheSame(t *testing.T) {
	for _, flag := range []string{"--if-version", "--if-epoch", "-e"} {
		inv := &invocation{ifVersion: -1}
		if _, err := parseCommand([]string{"config", "apply", "--file", "-", flag, "7"}, inv); err != nil || inv.ifVersion != 7 {
			t.Errorf("parse %s 7: got if-version %d and error %v, want 7", flag, inv.ifVersion, err)
		}
	}
}

// Commands that were renamed give the same result under their former names, and print the present name.
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
					code, out, stderr := run(`{"version":8}`, append([]string{renamed.Name, command}, arguments...)...)
					firstCode, firstOut, firstStderr := run(`{"version":8}`, append([]string{renamed.First, command}, arguments...)...)
					if firstCode != code || firstOut != out {
						t.Errorf("command called by its former name: got exit code %d and output %q, want %d and %q as under the present name", firstCode, firstOut, code, out)
					}
					if !strings.HasSuffix(firstStderr, stderr) || flags != "--odd" && !strings.Contains(firstStderr, "`"+c.path+"`") {
						t.Errorf("command called by its former name: got error output %q, want the present name `%s` followed by %q", firstStderr, c.path, stderr)
					}
					_, _, stderr = run(`{"version":8}`, append([]string{renamed.Name, command, "--json"}, arguments...)...)
					if _, _, firstStderr = run(`{"version":8}`, append([]string{renamed.First, command, "--json"}, arguments...)...); firstStderr != stderr {
						t.Errorf("command called by its former name with --json: got error output %q, want %q as under the present name", firstStderr, stderr)
					}
				})
			}
		}
	}
}
