package serviceconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/template"
	"text/template/parse"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Template is a service configuration with parameters: strings in it may contain {{.name}}. A string
// that is nothing but one parameter becomes a number or a boolean if the parameter is one.
type Template struct {
	Params map[string]string `json:"params"` // name -> what it means
	Config map[string]any    `json:"setup"`
}

// Overlay is one overlay, a partial service configuration, with the name under which origins refer to
// it.
type Overlay struct {
	Name string
	Body []byte
}

// Origin is where one value of a rendered service configuration comes from.
type Origin struct {
	Path  string `json:"path"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// Render fills in a template, applies overlays in order, and checks the result like any service
// configuration. Missing and unknown parameters are rejected by name.
//
// Example: body, origins, err := serviceconfig.Render(raw, map[string]string{"weights": "3"}, layers)
func Render(raw []byte, set map[string]string, layers []Overlay) ([]byte, []Origin, error) {
	var t Template
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	d.UseNumber()
	if err := d.Decode(&t); err != nil {
		return nil, nil, errs.WrapAs(err, errs.BadInput, "template")
	}
	var b errs.Batch
	for _, n := range queue.Keys(t.Params) {
		if _, ok := set[n]; !ok {
			b.Addf(errs.BadInput, "parameter %s is missing (%s): give --set %s=…", n, t.Params[n], n)
		}
	}
	for _, n := range queue.Keys(set) {
		if _, ok := t.Params[n]; !ok {
			b.Addf(errs.BadInput, "parameter %s is unknown: this template takes %v", n, queue.Keys(t.Params))
		}
	}
	from := map[string]string{}
	filled := renderValue(t.Config, "", set, t.Params, from, &b)
	if err := b.Err(); err != nil {
		return nil, nil, err
	}
	body, err := json.Marshal(filled)
	if err != nil {
		return nil, nil, errs.Wrap(err, "encode rendered service configuration")
	}
	at := map[string]string{}
	flatten(body, at)
	for _, l := range layers {
		next, err := jsonpatch.MergePatch(body, l.Body)
		if err != nil {
			return nil, nil, errs.WrapAs(err, errs.BadInput, "overlay "+l.Name)
		}
		now := map[string]string{}
		flatten(next, now)
		said := map[string]string{}
		flatten(l.Body, said)
		for p, v := range now {
			if _, own := said[p]; own || at[p] != v {
				from[p] = "overlay " + l.Name
			}
		}
		body, at = next, now
	}
	if body, err = Merge(nil, body); err != nil {
		return nil, nil, err
	}
	final := map[string]string{}
	flatten(body, final)
	var os []Origin
	for p, v := range final {
		f := from[p]
		if f == "" {
			f = "template"
		}
		os = append(os, Origin{p, v, f})
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Path < os[j].Path })
	return body, os, nil
}

// renderValue executes every string of the template.
func renderValue(v any, path string, set, known map[string]string, from map[string]string, b *errs.Batch) any {
	switch x := v.(type) {
	case map[string]any:
		m := map[string]any{}
		for k, y := range x {
			key, ok := renderValue(k, path+" (key)", set, known, map[string]string{}, b).(string)
			if !ok {
				b.Addf(errs.BadInput, "%s: a key that renders to a number: write it with another word", path)
				key = k
			}
			m[key] = renderValue(y, strings.TrimPrefix(path+"."+key, "."), set, known, from, b)
		}
		return m
	case []any:
		var l []any
		for i, y := range x {
			l = append(l, renderValue(y, fmt.Sprintf("%s[%d]", path, i), set, known, from, b))
		}
		return l
	case string:
		return renderString(x, path, set, known, from, b)
	}
	return v
}

func renderString(s, path string, set, known, from map[string]string, b *errs.Batch) any {
	t, err := template.New(path).Option("missingkey=error").Parse(s)
	if err != nil {
		b.Add(path, errs.WrapAs(err, errs.BadInput, "template"))
		return s
	}
	var used []string
	alone := len(t.Root.Nodes) == 1
	for _, n := range t.Root.Nodes {
		a, ok := n.(*parse.ActionNode)
		if !ok {
			continue
		}
		name := strings.TrimPrefix(a.Pipe.String(), ".")
		if _, ok := known[name]; !ok {
			b.Addf(errs.BadInput, "%s: {{%s}}: no such parameter: describe it under params", path, a.Pipe)
			return s
		}
		used = append(used, name)
	}
	if len(used) == 0 {
		return s
	}
	from[path] = "parameter " + strings.Join(used, ", ")
	var o bytes.Buffer
	if err := t.Execute(&o, set); err != nil {
		return s // a missing parameter is reported already
	}
	var v any
	d := json.NewDecoder(bytes.NewReader(o.Bytes()))
	d.UseNumber()
	if alone && d.Decode(&v) == nil && !d.More() {
		switch v.(type) {
		case json.Number, bool:
			return v
		}
	}
	return o.String()
}

// flatten lists the values of a document by their paths.
func flatten(body []byte, to map[string]string) {
	var v any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&v) != nil {
		return
	}
	var walk func(string, any)
	walk = func(p string, v any) {
		switch x := v.(type) {
		case map[string]any:
			for k, y := range x {
				walk(strings.TrimPrefix(p+"."+k, "."), y)
			}
		case []any:
			for i, y := range x {
				walk(fmt.Sprintf("%s[%d]", p, i), y)
			}
		default:
			raw, err := json.Marshal(x)
			if err != nil {
				raw = []byte(err.Error())
			}
			to[p] = string(raw)
		}
	}
	walk("", v)
}
