package serviceconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pebbleloom/internal/errs"
)

// testdata/setups: what is decoded, merged and rejected, and with which messages.
func TestConfigs(t *testing.T) {
	var have []byte
	datadriven.RunTest(t, "testdata/setups", func(_ *testing.T, d *datadriven.TestData) string {
		part := []byte(d.Input)
		old := have
		if d.Cmd == "apply" {
			old = nil
		}
		b, err := Merge(old, part)
		if err != nil {
			return fmt.Sprintf("%s: %s\n", errs.KindOf(err).Name, strings.ReplaceAll(err.Error(), "; ", "\n  "))
		}
		have = b
		return string(b) + "\n"
	})
}

// A configuration has one canonical form, whatever order its maps are walked in.
func TestEncodingIsCanonical(t *testing.T) {
	s := &Config{Models: map[string]Model{}}
	for i := range 20 {
		s.Models[fmt.Sprint("m", i)] = Model{Weights: 1<<63 + uint64(i)}
	}
	a, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if b, err := Encode(s); err != nil || string(a) != string(b) {
			t.Fatalf("%s\n%s\n%v", a, b, err)
		}
	}
	if !strings.Contains(string(a), "9223372036854775827") {
		t.Errorf("a large version lost digits: %s", a)
	}
}

const siteTemplate = `{"params":{"site":"its name","weights":"the epoch","rate":"of tenants"},
 "setup":{"models":{"{{.site}}-lm":{"weights":"{{.weights}}"}},"services":{"main":{"model":"{{.site}}-lm"}},"ways":{"{{.site}}-lm":{"service":"main"}},
 "tenants":{"t1":{"keys":["key-{{.site}}-t1"],"rate":"{{.rate}}"}}}}`

func TestRender(t *testing.T) {
	set := map[string]string{"site": "daegu", "weights": "7", "rate": "2.5"}
	over := []Overlay{{"night.json", []byte(`{"tenants":{"t1":{"rate":1}},"wait_max_ms":9000}`)}, {"day.json", []byte(`{"tenants":{"t1":{"rate":1}}}`)}}
	body, os, err := Render([]byte(siteTemplate), set, over)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(body)
	if err != nil || s.Models["daegu-lm"].Weights != 7 || s.Tenants["t1"].RequestsPerSecond != 1 || s.MaxWaitMs != 9000 {
		t.Errorf("%s %v", body, err)
	}
	from := map[string]string{}
	for _, o := range os {
		from[o.Path] = o.From
	}
	for p, w := range map[string]string{"models.daegu-lm.weights": "parameter weights", "tenants.t1.keys[0]": "parameter site", "services.main.model": "parameter site",
		"ways.daegu-lm.service": "template", "tenants.t1.rate": "overlay day.json", "wait_max_ms": "overlay night.json"} {
		if from[p] != w {
			t.Errorf("%s is from %q, want %q", p, from[p], w)
		}
	}
	for name, c := range map[string]struct {
		tmpl string
		set  map[string]string
		want string
	}{
		"missing":                  {siteTemplate, map[string]string{"site": "x", "rate": "1"}, "parameter weights is missing"},
		"unknown":                  {siteTemplate, map[string]string{"site": "x", "rate": "1", "weights": "1", "colour": "red"}, "parameter colour is unknown"},
		"undescribed":              {`{"params":{},"setup":{"ways":{"m":{"service":"{{.x}}"}}}}`, nil, "no such parameter"},
		"a broken one":             {`{"params":{},"setup":{"ways":{"m":{"service":"{{.x"}}}}`, nil, "ways.m.service"},
		"not a good configuration": {siteTemplate, map[string]string{"site": "x", "rate": "1", "weights": "0"}, "models.x-lm.weights"},
		"no program in it":         {`{"params":{"x":"y"},"setup":{"ways":{"m":{"service":"{{printf .x}}"}}}}`, map[string]string{"x": "1"}, "no such parameter"},
	} {
		if _, _, err := Render([]byte(c.tmpl), c.set, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A model's weights don't go back, also where a whole configuration names them.
func TestWeightsVersionNeverDecreases(t *testing.T) {
	at := func(w string) []byte {
		return []byte(`{"models":{"m":{"weights":` + w + `}},"services":{"s":{"model":"m"}}}`)
	}
	for _, x := range []struct {
		old, next []byte
		ok        bool
	}{{nil, at("3"), true}, {at("3"), at("3"), true}, {at("3"), at("4"), true}, {at("3"), at("2"), false}, {[]byte(`{}`), at("1"), true}} {
		if err := CheckSuccessor(x.old, x.next); (err == nil) != x.ok || err != nil && errs.KindOf(err) != errs.BadInput {
			t.Errorf("%s after %s: %v", x.next, x.old, err)
		}
	}
}
