package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

func getConfig(ctx context.Context, c *operator.Client, _ *request, _ io.Reader) (any, error) {
	return c.GetSetup(ctx)
}

func apply(partial, dry bool) func(context.Context, *operator.Client, *request, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, r *request, in io.Reader) (any, error) {
		b, err := read(r, in)
		if err != nil {
			return nil, err
		}
		q := &operator.SetupChange{Setup: jx.Raw(b), Partial: operator.NewOptBool(partial), Dry: operator.NewOptBool(dry), Token: operator.NewOptString(token(r))}
		if r.ifEpoch >= 0 {
			q.IfEpoch = operator.NewOptInt64(r.ifEpoch)
		}
		return c.ChangeSetup(ctx, q)
	}
}

// Diff is one value that a configuration would change.
type Diff struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func flat(prefix string, v any, to map[string]string) {
	if m, ok := v.(map[string]any); ok {
		for k, x := range m {
			flat(strings.TrimPrefix(prefix+"."+k, "."), x, to)
		}
		return
	}
	if l, ok := v.([]any); ok && len(l) > 0 && allNamed(l) {
		for _, x := range l {
			flat(prefix+"."+x.(map[string]any)["name"].(string), x, to)
		}
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error())
	}
	to[prefix] = string(b)
}

// allNamed reports whether all items of a list have a name: then each is compared by itself.
func allNamed(l []any) bool {
	return !slices.ContainsFunc(l, func(x any) bool {
		m, _ := x.(map[string]any)
		_, ok := m["name"].(string)
		return !ok
	})
}

func diff(ctx context.Context, c *operator.Client, r *request, in io.Reader) (any, error) {
	b, err := read(r, in)
	if err != nil {
		return nil, err
	}
	have, err := c.GetSetup(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := serviceconfig.Decode(have.Setup); err == nil { // a plan of another format is compared as it was sent
		if b, err = serviceconfig.Merge(nil, b); err != nil {
			return nil, err
		}
	}
	var x, y any
	var f errs.Batch
	f.Add("read configuration in force", json.Unmarshal(have.Setup, &x))
	f.Add("read file", json.Unmarshal(b, &y))
	if err := f.Err(); err != nil {
		return nil, err
	}
	old, now := map[string]string{}, map[string]string{}
	flat("", x, old)
	flat("", y, now)
	l := []Diff{}
	for k, v := range old {
		if now[k] != v {
			l = append(l, Diff{k, v, now[k]})
		}
	}
	for k, v := range now {
		if _, ok := old[k]; !ok {
			l = append(l, Diff{k, "", v})
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Path < l[j].Path })
	return l, nil
}

func nameWeights(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("model", r.model); err != nil {
		return nil, err
	}
	if r.weights < 1 {
		return nil, errs.New(errs.BadInput, "--weights is missing: give the version, from 1")
	}
	return c.NameWeights(ctx, &operator.Weights{Model: r.model, Weights: r.weights, Token: operator.NewOptString(token(r))})
}

func revoke(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("tenant", r.tenant, "key", r.key); err != nil {
		return nil, err
	}
	return c.RevokeKey(ctx, &operator.Revoke{Tenant: r.tenant, Key: r.key})
}

func drain(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("worker", r.worker); err != nil {
		return nil, err
	}
	return c.Drain(ctx, &operator.Drain{Worker: r.worker, Drain: !r.back})
}

func status(ctx context.Context, c *operator.Client, _ *request, _ io.Reader) (any, error) {
	return c.GetStatus(ctx)
}

func nodes(ctx context.Context, c *operator.Client, _ *request, _ io.Reader) (any, error) {
	return c.ListNodes(ctx)
}

func workers(ctx context.Context, c *operator.Client, _ *request, _ io.Reader) (any, error) {
	return c.ListWorkers(ctx)
}

func getPlacement(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("service", r.service); err != nil {
		return nil, err
	}
	return c.GetPlacement(ctx, operator.GetPlacementParams{Service: r.service})
}

func explain(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("request", r.request); err != nil {
		return nil, err
	}
	return c.Explain(ctx, operator.ExplainParams{Request: r.request})
}

func lookup(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
	if err := need("model", r.model, "tenant", r.tenant, "part", strings.Join(r.parts, " ")); err != nil {
		return nil, err
	}
	return c.LookUp(ctx, &operator.Lookup{Model: r.model, Tenant: r.tenant, Parts: r.parts})
}

func indent(raw []byte) string {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return string(raw)
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return string(raw)
	}
	return string(b)
}

// optional formats a number that may be absent.
func optional(n operator.OptInt) string {
	if v, ok := n.Get(); ok {
		return strconv.Itoa(v)
	}
	return "-"
}

// formatText formats a response for people.
func formatText(v any) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 2, 8, 2, ' ', 0)
	switch x := v.(type) {
	case *operator.SetupInForce:
		fmt.Fprintf(w, "epoch %d\n%s\n", x.Epoch, indent(x.Setup))
	case *operator.PlacementInForce:
		fmt.Fprintf(w, "epoch %d\n%s\n", x.Epoch, indent(x.Placement))
	case *operator.Changed:
		fmt.Fprintf(w, "%s, epoch %d", x.Outcome, x.Epoch)
		if n, ok := x.Note.Get(); ok {
			fmt.Fprintf(w, " (%s)", n)
		}
		fmt.Fprintln(w)
	case []Diff:
		for _, d := range x {
			fmt.Fprintf(w, "%s\t%s\t→\t%s\n", d.Path, d.Old, d.New)
		}
		if len(x) == 0 {
			fmt.Fprintln(w, "no difference")
		}
	case *operator.Status:
		if x.Ok {
			fmt.Fprintln(w, "all is well")
		}
		for _, f := range x.Facts {
			fmt.Fprintf(w, "%s:\t%s\n", f.Name, f.Value)
		}
		for _, p := range x.Problems {
			fmt.Fprintf(w, "%s\t%s\t%s\n\tdo:\t%s (pebblectl runbook run %s)\n", p.Kind, p.Where, p.Text, p.Remedy, p.Runbook)
		}
	case *operator.NodeList:
		fmt.Fprintf(w, "NAME\tROLE\tDISTRICT\tADDRESS\tSTATE\tOPERATOR\n")
		for _, n := range x.Nodes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Role, n.District, n.Addr, n.State, n.Operator.Or("-"))
		}
		fmt.Fprintf(w, "as seen by %s\n", x.SeenBy)
	case *operator.WorkerList:
		fmt.Fprintf(w, "NAME\tSERVICE\tDISTRICT\tADDRESS\tSTATE\tWEIGHTS\tBUSY\tQUEUED\tSLOTS\n")
		for _, n := range x.Workers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\n", n.Name, n.Service, n.District, n.Addr, n.State, n.Weights, optional(n.Busy), optional(n.Queued), n.Slots)
		}
		for _, m := range queue.Keys(x.Named.Or(nil)) {
			fmt.Fprintf(w, "named weights of %s: %d\n", m, x.Named.Value[m])
		}
		fmt.Fprintf(w, "as seen by %s\n", x.SeenBy)
	case *Rendered:
		formatRendered(w, x)
	case *Listing:
		formatBooks(w, x)
	case *Ran:
		fmt.Fprintf(w, "run %s is through; record: %s\n", x.Run, x.Record)
	case *Retired:
		formatRetirements(w, x)
	case *operator.Moves:
		formatMoves(w, x)
	case *operator.Explained:
		for _, g := range x.Goes {
			fmt.Fprintln(w, indent(g))
		}
	case *operator.Found:
		fmt.Fprintf(w, "KEY\tTOKENS\tHOTNESS\tHOLDERS\n")
		for _, p := range x.Prefixes {
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%s\n", p.Key, optional(p.Tokens), p.Hotness, strings.Join(p.Holders, " "))
		}
	}
	if err := w.Flush(); err != nil {
		return err.Error()
	}
	return b.String()
}
