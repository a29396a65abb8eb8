package serviceconfig

import (
	"strings"
	"testing"
)

const siteTemplate = `{"params":{"site":"name of the site","weights":"version of the weights","rate":"rate limit of tenants"},
 "setup":{"models":{"{{.site}}-lm":{"weights":"{{.weights}}"}},"services":{"main":{"model":"{{.site}}-lm"}},"ways":{"{{.site}}-lm":{"service":"main"}},
 "tenants":{"t1":{"keys":["key-{{.site}}-t1"],"rate":"{{.rate}}"}}}}`

func TestRender(t *testing.T) {
	parameters := map[string]string{"site": "daegu", "weights": "7", "rate": "2.5"}
	overlays := []Overlay{
		{"night.json", []byte(`{"tenants":{"t1":{"rate":1}},"wait_max_ms":9000}`)},
		{"day.json", []byte(`{"tenants":{"t1":{"rate":1}}}`)},
	}
	body, origins, err := Render([]byte(siteTemplate), parameters, overlays)
	if err != nil {
		t.Fatal(err)
	}
	config, err := Decode(body)
	if err != nil || config.Models["daegu-lm"].Weights != 7 || config.Tenants["t1"].RequestsPerSecond != 1 || config.MaxWaitMs != 9000 {
		t.Errorf("Decode of the rendered configuration %s: error %v, values %+v; want weights 7, rate 1 and wait_max_ms 9000", body, err, config)
	}
	from := map[string]string{}
	for _, origin := range origins {
		from[origin.Path] = origin.From
	}
	for path, want := range map[string]string{
		"models.daegu-lm.weights": "parameter weights",
		"tenants.t1.keys[0]":      "parameter site",
		"services.main.model":     "parameter site",
		"ways.daegu-lm.service":   "template",
		"tenants.t1.rate":         "overlay day.json",
		"wait_max_ms":             "overlay night.json",
	} {
		if from[path] != want {
			t.Errorf("Render: origin of the value at path %s: %q, want %q", path, from[path], want)
		}
	}
}

func TestRenderRejects(t *testing.T) {
	for name, test := range map[string]struct {
		template   string
		parameters map[string]string
		want       string // expected substring of the error of Render
	}{
		"missing parameter":                    {siteTemplate, map[string]string{"site": "x", "rate": "1"}, "parameter weights is missing"},
		"unknown parameter":                    {siteTemplate, map[string]string{"site": "x", "rate": "1", "weights": "1", "colour": "red"}, "parameter colour is unknown"},
		"parameter without description":        {`{"params":{},"setup":{"ways":{"m":{"service":"{{.x}}"}}}}`, nil, "no such parameter"},
		"malformed template action":            {`{"params":{},"setup":{"ways":{"m":{"service":"{{.x"}}}}`, nil, "ways.m.service"},
		"template of an invalid configuration": {siteTemplate, map[string]string{"site": "x", "rate": "1", "weights": "0"}, "models.x-lm.weights"},
		"function call in the template":        {`{"params":{"x":"y"},"setup":{"ways":{"m":{"service":"{{printf .x}}"}}}}`, map[string]string{"x": "1"}, "no such parameter"},
	} {
		if _, _, err := Render([]byte(test.template), test.parameters, nil); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Render, case %q: error %v, want one that contains %q", name, err, test.want)
		}
	}
}
