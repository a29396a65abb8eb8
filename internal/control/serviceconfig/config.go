// Package serviceconfig is the operator's service configuration: reading, merging and checking it.
package serviceconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/mailru/easyjson"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH easyjson -all -disallow_unknown_fields model.go"

// MaxBytes bounds a whole service configuration.
const MaxBytes = 1 << 20

// Decode decodes and checks a whole service configuration; the faults name paths and remedies.
//
// Example: config, err := serviceconfig.Read(body)
func Decode(body []byte) (*Config, error) {
	s := &Config{}
	if len(body) > MaxBytes {
		return nil, errs.New(errs.TooLarge, "service configuration: %d bytes, at most %d", len(body), MaxBytes)
	}
	if err := easyjson.Unmarshal(body, s); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "service configuration")
	}
	var b errs.Batch
	s.check(&b)
	return s, b.Err()
}

// Encode encodes a service configuration in its one canonical form.
//
// Example: body, err := serviceconfig.Write(config)
func Encode(s *Config) ([]byte, error) {
	b, err := easyjson.Marshal(s)
	if err != nil {
		return nil, errs.Wrap(err, "encode service configuration")
	}
	// The generated encoder leaves the order of maps open; the canonical form has one order.
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, errs.Wrap(err, "order service configuration")
	}
	b, err = json.Marshal(v)
	return b, errs.Wrap(err, "order service configuration")
}

// Merge applies a partial service configuration to a whole one (RFC 7396: null removes) and checks the
// result.
//
// Example: body, err := serviceconfig.Merge(old, []byte(`{"models":{"lector":{"weights":4}}}`))
func Merge(whole, part []byte) ([]byte, error) {
	if len(whole) == 0 {
		whole = []byte("{}")
	}
	m, err := jsonpatch.MergePatch(whole, part)
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "merge partial service configuration")
	}
	s, err := Decode(m)
	if err != nil {
		return nil, err
	}
	return Encode(s)
}

// faultRecorder records the faults of a configuration, each with its path and remedy.
type faultRecorder struct{ batch *errs.Batch }

func (f faultRecorder) add(path, format string, args ...any) {
	f.batch.Addf(errs.BadInput, "%s: %s", path, fmt.Sprintf(format, args...))
}

// checkName notes a name that isn't a single word.
func (f faultRecorder) checkName(path, name string) {
	if name == "" || len(name) > 64 || strings.ContainsAny(name, " /\x00\n") {
		f.add(path, "%q: give a word of 1 to 64 letters without spaces or slashes", name)
	}
}

func (s *Config) check(b *errs.Batch) {
	f := faultRecorder{b}
	s.checkTenants(f)
	for _, n := range queue.Keys(s.Models) {
		f.checkName("models."+n, n)
		if s.Models[n].Weights == 0 {
			f.add("models."+n+".weights", "missing: name the weights' version, from 1")
		}
	}
	s.checkAdapters(f)
	s.checkServices(f)
	s.checkRoutes(f)
	if n := len(s.Seeds); n != 0 && n != 3 {
		f.add("seeds", "%d given: give three, or none to follow each machine's settings", n)
	}
	for i, a := range s.Seeds {
		if x, err := netip.ParseAddrPort(a); err != nil || x.Port() == 0 {
			f.add(fmt.Sprintf("seeds[%d]", i), "%q: give IP:port, by number", a)
		}
	}
	if s.MaxWaitMs < 0 || s.MaxWaitMs > 600000 {
		f.add("wait_max_ms", "%d: give 0 (the default, 30000) to 600000", s.MaxWaitMs)
	}
}

func (s *Config) checkTenants(f faultRecorder) {
	tenantOf := map[string]string{} // by key
	for _, n := range queue.Keys(s.Tenants) {
		t, p := s.Tenants[n], "tenants."+n
		f.checkName(p, n)
		if t.RequestsPerSecond < 0 || t.MaxInFlight < 0 {
			f.add(p, "rate and inflight: give 0 (no bound) or more")
		}
		for i, k := range t.Keys {
			if len(k) < 8 || len(k) > 128 {
				f.add(fmt.Sprintf("%s.keys[%d]", p, i), "%d letters: give 8 to 128", len(k))
			}
			if o, ok := tenantOf[k]; ok {
				f.add(fmt.Sprintf("%s.keys[%d]", p, i), "tenant %s has the same key: give each its own", o)
			}
			tenantOf[k] = n
		}
	}
}

func (s *Config) checkServices(f faultRecorder) {
	for _, n := range queue.Keys(s.Services) {
		v, p := s.Services[n], "services."+n
		f.checkName(p, n)
		if _, ok := s.Models[v.Model]; !ok {
			f.add(p+".model", "%q is not among models: add it there or name another", v.Model)
		}
		if v.FetchTolerance < 0 || v.FetchTolerance > 10 {
			f.add(p+".alpha", "%g: give 0 (the default, 1) to 10", v.FetchTolerance)
		}
		if v.WorkerMemoryMB < 0 {
			f.add(p+".room", "%d: give each worker's memory for weights in MB, or leave it out", v.WorkerMemoryMB)
		}
		if v.HotnessWindowS < 0 || v.HotnessWindowS > 86400 {
			f.add(p+".window_s", "%d: give 0 (the default, 30) to 86400", v.HotnessWindowS)
		}
		if v.Rollout != "" && v.Rollout != "paced" && v.Rollout != "at-once" {
			f.add(p+".roll_out", "%q: give paced or at-once", v.Rollout)
		}
		switch v.Placement {
		case "", "hrcs", "all-replicated", "all-sharded", "no-index":
		default:
			f.add(p+".placement", "%q: give hrcs, all-replicated, all-sharded or no-index", v.Placement)
		}
	}
}

func (s *Config) checkRoutes(f faultRecorder) {
	for _, n := range queue.Keys(s.Routes) {
		r := s.Routes[n]
		if _, ok := s.Services[r.Service]; !ok {
			f.add("ways."+n+".service", "%q is not among services: add it there or name another", r.Service)
		}
		if r.HandoverTo != "" {
			if v, ok := s.Services[r.HandoverTo]; !ok || v.Model != n {
				f.add("ways."+n+".next", "%q is no service of model %s: name one that is", r.HandoverTo, n)
			}
		}
		if r.HandoverPercent < 0 || r.HandoverPercent > 100 {
			f.add("ways."+n+".share", "%d: give a percent", r.HandoverPercent)
		}
		s.checkTargets(n, f)
	}
}

// Tenant returns the tenant of a key.
//
// Example: name, t, ok := s.Tenant(key)
func (s *Config) Tenant(key string) (string, Tenant, bool) {
	n, ok := s.tenantByKey[key]
	return n, s.Tenants[n], ok
}

// KeyBelongsTo reports whether a key still belongs to a tenant.
//
// Example: if !config.KeyBelongsTo(key, tenant) { reject() }
func (s *Config) KeyBelongsTo(key, tenant string) bool {
	n, ok := s.tenantByKey[key]
	return ok && n == tenant
}

// BuildIndex builds the lookup tables; call it once, before the configuration is shared.
//
// Example: config.BuildIndex()
func (s *Config) BuildIndex() *Config {
	s.tenantByKey = map[string]string{}
	for n, t := range s.Tenants {
		for _, k := range t.Keys {
			s.tenantByKey[k] = n
		}
	}
	return s
}

// CacheDomain is the cache domain of a tenant: its own if isolated, the shared one otherwise.
//
// Example: s.Domain("hospital-norte")
func (s *Config) CacheDomain(tenant string) string {
	if s.Tenants[tenant].Isolated {
		return "t:" + tenant
	}
	return "shared"
}
