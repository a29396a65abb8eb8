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
	"pebbleloom/internal/maputil"
)

// Template is a service configuration with parameters: strings in it may contain {{.name}}, which stands for the
// value of the parameter called name. A string that consists of a single parameter becomes a number or boolean if
// the value of the parameter is one.
type Template struct {
	Params map[string]string `json:"params"` // descriptions of the template's parameters, by parameter name
	Config map[string]any    `json:"setup"`
}

// Overlay is a partial service configuration that is merged into a rendered one. Origin.From refers to an overlay by
// its name.
type Overlay struct {
	Name string
	Body []byte
}

// Origin says where a value of a rendered service configuration comes from: the template, a parameter or an overlay.
type Origin struct {
	Path  string `json:"path"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// Render renders a template with parameters, applies overlays in order and checks the result like any other service
// configuration. It returns the encoded configuration and the origins of its values. If parameters are missing or
// unknown, the error is of kind errs.BadInput and lists their names.
//
// Example: body, origins, err := serviceconfig.Render(raw, map[string]string{"weights": "3"}, overlays)
func Render(raw []byte, parameters map[string]string, overlays []Overlay) ([]byte, []Origin, error) {
	source, err := decodeTemplate(raw)
	if err != nil {
		return nil, nil, err
	}
	r := &renderer{parameters: parameters, descriptions: source.Params, origins: map[string]string{}}
	body, err := r.render(source)
	if err != nil {
		return nil, nil, err
	}
	if body, err = r.applyOverlays(body, overlays); err != nil {
		return nil, nil, err
	}
	if body, err = Merge(nil, body); err != nil {
		return nil, nil, err
	}
	return body, r.listOrigins(body), nil
}

// decodeTemplate decodes a JSON template and rejects unknown fields.
func decodeTemplate(raw []byte) (*Template, error) {
	var source Template
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	decoder.UseNumber()
	if err := decoder.Decode(&source); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "template")
	}
	return &source, nil
}

// renderer renders one template of a service configuration.
type renderer struct {
	parameters   map[string]string // values of the template's parameters, by parameter name
	descriptions map[string]string // descriptions of the template's parameters, by parameter name
	origins      map[string]string // origins of rendered values, by path of the value; a value without an entry comes from the template
	faults       errs.Batch
}

// render returns the encoded service configuration of a template in which all parameters are replaced by their
// values.
func (r *renderer) render(source *Template) ([]byte, error) {
	r.checkParameters()
	rendered := r.renderValue(source.Config, "", r.origins)
	if err := r.faults.Err(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(rendered)
	return body, errs.Wrap(err, "encode rendered service configuration")
}

// checkParameters reports a fault for every template parameter without a value and for every given parameter that
// the template does not have.
func (r *renderer) checkParameters() {
	for _, name := range maputil.SortedKeys(r.descriptions) {
		if _, ok := r.parameters[name]; !ok {
			r.faults.Addf(errs.BadInput, "parameter %s is missing (%s): set it with --set %s=…", name, r.descriptions[name], name)
		}
	}
	for _, name := range maputil.SortedKeys(r.parameters) {
		if _, ok := r.descriptions[name]; !ok {
			r.faults.Addf(errs.BadInput, "parameter %s is unknown: the template has the parameters %v", name, maputil.SortedKeys(r.descriptions))
		}
	}
}

// renderValue renders every string in a JSON value of a template, including the keys of objects, and records the
// origins of values that contain parameters.
func (r *renderer) renderValue(value any, path string, origins map[string]string) any {
	switch v := value.(type) {
	case map[string]any:
		return r.renderObject(v, path, origins)
	case []any:
		var elements []any
		for i, element := range v {
			elements = append(elements, r.renderValue(element, elementPath(path, i), origins))
		}
		return elements
	case string:
		return r.renderString(v, path, origins)
	}
	return value
}

func (r *renderer) renderObject(fields map[string]any, path string, origins map[string]string) map[string]any {
	rendered := map[string]any{}
	for field, value := range fields {
		keyOrigins := map[string]string{} // origins of object keys, which are discarded: only the origins of values are reported
		key, ok := r.renderValue(field, path+" (key)", keyOrigins).(string)
		if !ok {
			r.faults.Addf(errs.BadInput, "%s: key %q renders to a number or boolean, must render to a string", path, field)
			key = field
		}
		rendered[key] = r.renderValue(value, fieldPath(path, key), origins)
	}
	return rendered
}

// renderString renders one string of a template and records the parameters that it contains as the origin of the
// value at a path.
func (r *renderer) renderString(text, path string, origins map[string]string) any {
	parsed, err := template.New(path).Option("missingkey=error").Parse(text)
	if err != nil {
		r.faults.Add(path, errs.WrapAs(err, errs.BadInput, "template"))
		return text
	}
	var used []string
	for _, node := range parsed.Root.Nodes {
		action, ok := node.(*parse.ActionNode)
		if !ok {
			continue
		}
		name := strings.TrimPrefix(action.Pipe.String(), ".")
		if _, ok := r.descriptions[name]; !ok {
			r.faults.Addf(errs.BadInput, "%s: {{%s}}: no such parameter in the template: describe it under params", path, action.Pipe)
			return text
		}
		used = append(used, name)
	}
	if len(used) == 0 {
		return text
	}
	origins[path] = "parameter " + strings.Join(used, ", ")
	var output bytes.Buffer
	if err := parsed.Execute(&output, r.parameters); err != nil {
		return text // the string contains a parameter without a value, which checkParameters has reported
	}
	if len(parsed.Root.Nodes) == 1 {
		if scalar, ok := decodeScalar(output.Bytes()); ok {
			return scalar
		}
	}
	return output.String()
}

// decodeScalar decodes a text that is a single JSON number or boolean. It returns false for any other text.
func decodeScalar(text []byte) (any, bool) {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&value) != nil || decoder.More() {
		return nil, false
	}
	switch value.(type) {
	case json.Number, bool:
		return value, true
	}
	return nil, false
}

// applyOverlays merges overlays in order into an encoded service configuration. An overlay becomes the origin of all
// values that it contains or changes.
func (r *renderer) applyOverlays(body []byte, overlays []Overlay) ([]byte, error) {
	before := flatten(body)
	for _, overlay := range overlays {
		merged, err := jsonpatch.MergePatch(body, overlay.Body)
		if err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "overlay "+overlay.Name)
		}
		after, named := flatten(merged), flatten(overlay.Body)
		for path, value := range after {
			if _, ok := named[path]; ok || before[path] != value {
				r.origins[path] = "overlay " + overlay.Name
			}
		}
		body, before = merged, after
	}
	return body, nil
}

// listOrigins returns the origins of all values of an encoded service configuration, sorted by path.
func (r *renderer) listOrigins(body []byte) []Origin {
	var list []Origin
	for path, value := range flatten(body) {
		from := r.origins[path]
		if from == "" {
			from = "template"
		}
		list = append(list, Origin{path, value, from})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Path < list[j].Path })
	return list
}

// flatten returns the scalar values of a JSON document, each encoded as JSON, by path. It returns an empty map if
// the document is not valid JSON.
func flatten(body []byte) map[string]string {
	values := map[string]string{}
	var root any
	if decodeJSON(body, &root) == nil {
		flattenInto(values, "", root)
	}
	return values
}

// flattenInto adds the scalar values within a JSON value to a map, by path. path is the path of the JSON value
// itself.
func flattenInto(values map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, field := range v {
			flattenInto(values, fieldPath(path, key), field)
		}
	case []any:
		for i, element := range v {
			flattenInto(values, elementPath(path, i), element)
		}
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			raw = []byte(err.Error())
		}
		values[path] = string(raw)
	}
}

func fieldPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
