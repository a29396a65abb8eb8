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
	"pebbleloom/internal/maputil"
)

func getConfig(ctx context.Context, c *operator.Client, _ *invocation, _ io.Reader) (any, error) {
	return c.GetSetup(ctx)
}

func applyConfig(partial, dry bool) func(context.Context, *operator.Client, *invocation, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, inv *invocation, in io.Reader) (any, error) {
		raw, err := readFile(inv, in)
		if err != nil {
			return nil, err
		}
		change := &operator.SetupChange{Setup: jx.Raw(raw), Partial: operator.NewOptBool(partial), Dry: operator.NewOptBool(dry), Token: operator.NewOptString(token(inv))}
		if inv.ifVersion >= 0 {
			change.IfEpoch = operator.NewOptInt64(inv.ifVersion)
		}
		return c.ChangeSetup(ctx, change)
	}
}

// Diff is one configuration value that applying a file would change.
type Diff struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// flatten adds the values of a decoded JSON document to values as JSON, by their dotted paths.
func flatten(prefix string, v any, values map[string]string) {
	if object, ok := v.(map[string]any); ok {
		for key, item := range object {
			flatten(strings.TrimPrefix(prefix+"."+key, "."), item, values)
		}
		return
	}
	if list, ok := v.([]any); ok && len(list) > 0 && allNamed(list) {
		for _, item := range list {
			flatten(prefix+"."+item.(map[string]any)["name"].(string), item, values)
		}
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error())
	}
	values[prefix] = string(b)
}

// allNamed reports whether all items of a list have a name. Such a list is compared item by item, by name.
func allNamed(l []any) bool {
	return !slices.ContainsFunc(l, func(x any) bool {
		m, _ := x.(map[string]any)
		_, ok := m["name"].(string)
		return !ok
	})
}

func diffConfig(ctx context.Context, c *operator.Client, inv *invocation, in io.Reader) (any, error) {
	raw, err := readFile(inv, in)
	if err != nil {
		return nil, err
	}
	inForce, err := c.GetSetup(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := serviceconfig.Decode(inForce.Setup); err == nil { // decoding fails if the configuration is a routing plan in an inference platform's own format, which is compared without normalization
		if raw, err = serviceconfig.Merge(nil, raw); err != nil {
			return nil, err
		}
	}
	var inForceValue, fileValue any
	var batch errs.Batch
	batch.Add("decode configuration in force", json.Unmarshal(inForce.Setup, &inForceValue))
	batch.Add("decode file", json.Unmarshal(raw, &fileValue))
	if err := batch.Err(); err != nil {
		return nil, err
	}
	old, proposed := map[string]string{}, map[string]string{}
	flatten("", inForceValue, old)
	flatten("", fileValue, proposed)
	diffs := []Diff{}
	for path, v := range old {
		if proposed[path] != v {
			diffs = append(diffs, Diff{path, v, proposed[path]})
		}
	}
	for path, v := range proposed {
		if _, ok := old[path]; !ok {
			diffs = append(diffs, Diff{path, "", v})
		}
	}
	sort.Slice(diffs, func(i, j int) bool { return diffs[i].Path < diffs[j].Path })
	return diffs, nil
}

func nameWeights(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("model", inv.model); err != nil {
		return nil, err
	}
	if inv.weights < 1 {
		return nil, errs.New(errs.BadInput, "--weights is missing or below 1: give the version of the weights")
	}
	return c.NameWeights(ctx, &operator.Weights{Model: inv.model, Weights: inv.weights, Token: operator.NewOptString(token(inv))})
}

func revokeKey(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("tenant", inv.tenant, "key", inv.key); err != nil {
		return nil, err
	}
	return c.RevokeKey(ctx, &operator.Revoke{Tenant: inv.tenant, Key: inv.key})
}

func drainWorker(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("worker", inv.worker); err != nil {
		return nil, err
	}
	return c.Drain(ctx, &operator.Drain{Worker: inv.worker, Drain: !inv.undrain})
}

func getStatus(ctx context.Context, c *operator.Client, _ *invocation, _ io.Reader) (any, error) {
	return c.GetStatus(ctx)
}

func listNodes(ctx context.Context, c *operator.Client, _ *invocation, _ io.Reader) (any, error) {
	return c.ListNodes(ctx)
}

func listWorkers(ctx context.Context, c *operator.Client, _ *invocation, _ io.Reader) (any, error) {
	return c.ListWorkers(ctx)
}

func getPlacement(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("service", inv.service); err != nil {
		return nil, err
	}
	return c.GetPlacement(ctx, operator.GetPlacementParams{Service: inv.service})
}

func explainRequest(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("request", inv.request); err != nil {
		return nil, err
	}
	return c.Explain(ctx, operator.ExplainParams{Request: inv.request})
}

func queryIndex(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("model", inv.model, "tenant", inv.tenant, "part", strings.Join(inv.parts, " ")); err != nil {
		return nil, err
	}
	return c.LookUp(ctx, &operator.Lookup{Model: inv.model, Tenant: inv.tenant, Parts: inv.parts})
}

// indent indents a JSON document; a text that isn't valid JSON is returned unchanged.
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

// formatOptional formats a number, or "-" if it is absent.
func formatOptional(n operator.OptInt) string {
	if v, ok := n.Get(); ok {
		return strconv.Itoa(v)
	}
	return "-"
}

// formatText formats a command's result as human-readable text. The number after epoch is the version of the
// stored document that the command read or changed.
func formatText(v any) string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 2, 8, 2, ' ', 0)
	switch result := v.(type) {
	case *operator.SetupInForce:
		fmt.Fprintf(table, "epoch %d\n%s\n", result.Epoch, indent(result.Setup))
	case *operator.PlacementInForce:
		fmt.Fprintf(table, "epoch %d\n%s\n", result.Epoch, indent(result.Placement))
	case *operator.Changed:
		fmt.Fprintf(table, "%s, epoch %d", result.Outcome, result.Epoch)
		if remark, ok := result.Note.Get(); ok {
			fmt.Fprintf(table, " (%s)", remark)
		}
		fmt.Fprintln(table)
	case []Diff:
		for _, difference := range result {
			fmt.Fprintf(table, "%s\t%s\t→\t%s\n", difference.Path, difference.Old, difference.New)
		}
		if len(result) == 0 {
			fmt.Fprintln(table, "no differences")
		}
	case *operator.Status:
		if result.Ok {
			fmt.Fprintln(table, "no problems")
		}
		for _, fact := range result.Facts {
			fmt.Fprintf(table, "%s:\t%s\n", fact.Name, fact.Value)
		}
		for _, problem := range result.Problems {
			fmt.Fprintf(table, "%s\t%s\t%s\n\tremedy:\t%s (pebblectl runbook run --name %s)\n", problem.Kind, problem.Where, problem.Text, problem.Remedy, problem.Runbook)
		}
	case *operator.NodeList:
		fmt.Fprintf(table, "NAME\tROLE\tDISTRICT\tADDRESS\tSTATE\tOPERATOR\n")
		for _, node := range result.Nodes {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", node.Name, node.Role, node.District, node.Addr, node.State, node.Operator.Or("-"))
		}
		fmt.Fprintf(table, "reported by %s\n", result.SeenBy)
	case *operator.WorkerList:
		fmt.Fprintf(table, "NAME\tSERVICE\tDISTRICT\tADDRESS\tSTATE\tWEIGHTS\tBUSY\tQUEUED\tSLOTS\n")
		for _, worker := range result.Workers {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\n", worker.Name, worker.Service, worker.District, worker.Addr, worker.State, worker.Weights, formatOptional(worker.Busy), formatOptional(worker.Queued), worker.Slots)
		}
		for _, model := range maputil.SortedKeys(result.Named.Or(nil)) {
			fmt.Fprintf(table, "target weights of %s: %d\n", model, result.Named.Value[model])
		}
		fmt.Fprintf(table, "reported by %s\n", result.SeenBy)
	case *Rendered:
		formatRendered(table, result)
	case *Listing:
		formatRunbooks(table, result)
	case *RunResult:
		fmt.Fprintf(table, "run %s completed; record: %s\n", result.Run, result.Record)
	case *RetirementList:
		formatRetirements(table, result)
	case *operator.Moves:
		formatMoves(table, result)
	case *operator.Explained:
		for _, attempt := range result.Goes {
			fmt.Fprintln(table, indent(attempt))
		}
	case *operator.GroupRestored:
		formatGroupRestored(table, result)
	case *operator.Found:
		fmt.Fprintf(table, "KEY\tTOKENS\tHOTNESS\tHOLDERS\n")
		for _, found := range result.Prefixes {
			fmt.Fprintf(table, "%s\t%s\t%.2f\t%s\n", found.Key, formatOptional(found.Tokens), found.Hotness, strings.Join(found.Holders, " "))
		}
	}
	if err := table.Flush(); err != nil {
		return err.Error()
	}
	return text.String()
}
