package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/runbook"
)

// Listing is the output of `runbook list` and `runbook check`.
type Listing struct {
	Books []runbook.Runbook `json:"books"`
}

// Ran is the output of a run.
type Ran struct {
	Run    string                `json:"run"`
	Record string                `json:"record"`
	Lines  []runbook.RecordEntry `json:"lines"`
}

func bookNamed(name string) (*runbook.Runbook, error) {
	if strings.HasSuffix(name, ".json") {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "read runbook")
		}
		return runbook.Read(raw)
	}
	l, err := runbook.Builtin()
	if err != nil {
		return nil, err
	}
	for _, b := range l {
		if b.Name == name {
			return &b, nil
		}
	}
	return nil, errs.New(errs.NotFound, "no runbook %q: see pebblectl runbook list, or name a .json file", name)
}

func listBooks(context.Context, *operator.Client, *request, io.Reader) (any, error) {
	l, err := runbook.Builtin()
	return &Listing{l}, err
}

func checkBook(_ context.Context, _ *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("name", r.name); err != nil {
		return nil, err
	}
	b, err := bookNamed(r.name)
	if err != nil {
		return nil, err
	}
	return &Listing{[]runbook.Runbook{*b}}, nil
}

func parseSettings(l []string) (map[string]string, error) {
	m := map[string]string{}
	var b errs.Batch
	for _, x := range l {
		k, v, ok := strings.Cut(x, "=")
		if !ok || k == "" {
			b.Addf(errs.BadInput, "--set %q: give name=value", x)
		}
		m[k] = v
	}
	return m, b.Err()
}

func runBook(_ context.Context, c *operator.Client, r *request, in io.Reader) (any, error) {
	if err := need("name", r.name); err != nil {
		return nil, err
	}
	b, err := bookNamed(r.name)
	if err != nil {
		return nil, err
	}
	set, err := parseSettings(r.set)
	if err != nil {
		return nil, err
	}
	id := make([]byte, 6)
	_, _ = rand.Read(id) // never fails, as its documentation says
	progress := runbook.Progress{RunID: b.Name + "-" + hex.EncodeToString(id), Params: set}
	ran := &Ran{Record: r.record}
	if r.resume != "" {
		f, err := os.Open(r.resume)
		if err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "open record")
		}
		defer f.Close()
		if progress, err = b.Resume(f); err != nil {
			return nil, err
		}
		ran.Record = r.resume
	}
	ran.Run = progress.RunID
	if ran.Record == "" {
		ran.Record = ran.Run + ".jsonl"
	}
	if _, err := b.Substitute(progress.Params); err != nil {
		return nil, err
	}
	var f *os.File
	if !r.dry {
		if f, err = os.OpenFile(ran.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "open record")
		}
		defer f.Close()
	}
	w := &nodeWorld{c: c, in: bufio.NewReader(in), out: r.bad, yes: r.yes}
	err = b.Run(progress, r.dry, w, func(l runbook.RecordEntry) error {
		l.At = time.Now().UTC().Format(time.RFC3339)
		ran.Lines = append(ran.Lines, l)
		if !r.asJSON {
			fmt.Fprintf(r.bad, "%2d %-8s %-8s %s %s\n", l.Step, l.Type, l.State, l.Text, l.Detail)
		}
		if f == nil {
			return nil
		}
		if err := json.NewEncoder(f).Encode(l); err != nil {
			return errs.Wrap(err, "write record")
		}
		return errs.Wrap(f.Sync(), "sync record")
	})
	if err != nil && !r.dry {
		return nil, errs.Wrap(err, "go on with --resume "+ran.Record)
	}
	return ran, err
}

// nodeWorld is the site as a runbook sees it, through a node's operator address.
type nodeWorld struct {
	c   *operator.Client
	in  *bufio.Reader
	out io.Writer
	yes bool
}

func (w *nodeWorld) ctx() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 15*time.Second)
}

// Rows returns a view as rows of values.
//
// Example: rows, err := w.Rows("workers")
func (w *nodeWorld) Rows(view string) ([]map[string]string, error) {
	ctx, end := w.ctx()
	defer end()
	var l []map[string]string
	switch view {
	case "nodes":
		n, err := w.c.ListNodes(ctx)
		if err != nil {
			return nil, typedError(err, "")
		}
		for _, x := range n.Nodes {
			l = append(l, map[string]string{"name": x.Name, "role": x.Role, "district": x.District, "state": x.State, "addr": x.Addr})
		}
	case "workers":
		n, err := w.c.ListWorkers(ctx)
		if err != nil {
			return nil, typedError(err, "")
		}
		for _, x := range n.Workers {
			l = append(l, map[string]string{"name": x.Name, "service": x.Service, "district": x.District, "state": x.State, "weights": strconv.FormatInt(x.Weights, 10)})
		}
	case "parts", "problems":
		s, err := w.c.GetStatus(ctx)
		if err != nil {
			return nil, typedError(err, "")
		}
		for _, x := range s.Parts {
			if view == "parts" {
				l = append(l, map[string]string{"name": fmt.Sprintf("%d@%s", x.Part, x.Member), "part": strconv.Itoa(x.Part), "member": x.Member, "state": x.State})
			}
		}
		for _, x := range s.Problems {
			if view == "problems" {
				l = append(l, map[string]string{"name": x.Kind + ":" + x.Where, "kind": x.Kind, "where": x.Where})
			}
		}
	case "moves":
		m, err := w.c.ListMoves(ctx)
		if err != nil {
			return nil, typedError(err, "")
		}
		for _, x := range m.Moves {
			e, err := calendar.Decode(x)
			if err != nil {
				return nil, err
			}
			l = append(l, map[string]string{"name": e.Name, "service": e.Service, "kind": string(e.Kind), "state": string(e.State)})
		}
	case "retirements":
		return w.retirements(ctx)
	case "setup":
		s, err := w.c.GetSetup(ctx)
		if err != nil {
			return nil, typedError(err, "")
		}
		var v any
		if err := json.Unmarshal(s.Setup, &v); err != nil {
			return nil, errs.Wrap(err, "read configuration")
		}
		m := map[string]string{}
		flat("", v, m)
		for k, x := range m {
			l = append(l, map[string]string{"name": k, "value": strings.Trim(x, `"`)})
		}
	}
	return l, nil
}

// Do executes an action, under the step's token if the action takes one.
//
// Example: err := w.Do("drain", map[string]string{"worker": "worker-3"}, "run-1/2")
func (w *nodeWorld) Do(action string, a map[string]string, token string) error {
	ctx, end := w.ctx()
	defer end()
	r := &request{file: a["file"], token: token, ifEpoch: -1, worker: a["worker"], back: action == "undrain", tenant: a["tenant"], key: a["key"],
		model: a["model"], service: a["service"], name: a["name"]}
	var err error
	switch action {
	case "drain", "undrain":
		_, err = drain(ctx, w.c, r, nil)
	case "name-weights":
		if r.weights, err = strconv.ParseInt(a["weights"], 10, 64); err != nil {
			return errs.WrapAs(err, errs.BadInput, "weights")
		}
		_, err = nameWeights(ctx, w.c, r, nil)
	case "revoke-key":
		if _, err = revoke(ctx, w.c, r, nil); err != nil && errs.KindOf(typedError(err, "")) == errs.NotFound && strings.Contains(err.Error(), "no such key") {
			err = nil // it is revoked already: an earlier attempt whose response was lost
		}
	case "patch-setup":
		_, err = apply(true, false)(ctx, w.c, r, nil)
	case "write-move":
		_, err = writeMove(false)(ctx, w.c, r, nil)
	case "ask-move":
		_, err = askMove(operator.AskMoveVerb(a["verb"]))(ctx, w.c, r, nil)
	case "ask-retirement":
		_, err = askRetirement(operator.AskRetirementVerb(a["verb"]))(ctx, w.c, r, nil)
	default:
		err = errs.New(errs.BadInput, "action %q", action)
	}
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return typedError(err, "")
}

// Confirm asks the operator.
//
// Example: if !w.Confirm("Is the disk replaced?") { stop() }
func (w *nodeWorld) Confirm(text string) bool {
	if w.yes {
		return true
	}
	fmt.Fprintf(w.out, "   %s [yes/no] ", text)
	s, err := w.in.ReadString('\n')
	return (err == nil || err == io.EOF) && strings.TrimSpace(s) == "yes"
}

// Pause waits for a second.
//
// Example: w.Pause(1)
func (w *nodeWorld) Pause(int) { time.Sleep(time.Second) }

func formatBooks(w io.Writer, l *Listing) {
	fmt.Fprintln(w, "RUNBOOK\tWHEN\tPARAMETERS")
	for _, b := range l.Books {
		var ps []string
		for k := range b.Params {
			ps = append(ps, k)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", b.Name, b.When, strings.Join(ps, " "))
	}
}
