// Package settings reads a process's settings: its addresses, its zone, three seeds, its data folder
// and the bounds that all constants are ratios of.
package settings

import (
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Process holds the settings of one process.
type Process struct {
	Name        string   `json:"name"`         // the machine's or worker's name; it survives restarts
	Zone        string   `json:"district"`     // one of the site's zones
	Listen      string   `json:"listen"`       // own address towards pebbleloom's processes
	Advertise   string   `json:"tell"`         // the advertised address, if it isn't Listen
	Public      string   `json:"public"`       // own address towards clients; a simulator's own
	Operator    string   `json:"operator"`     // own address towards operators
	OperatorKey string   `json:"operator_key"` // key that operators must present; empty: none
	Seeds       []string `json:"seeds"`        // three addresses of other processes
	Core        []string `json:"core"`         // the names of the core machines
	Data        string   `json:"data"`         // the one data folder; only where there is a disk
	NodeAgent   string   `json:"runner"`       // the node agent beside a proxy, on loopback
	WorkerList  string   `json:"rank"`         // where the platform lists workers
	Options     []string `json:"extra"`        // a program's own options, checked by the program
	// Bounds are the guarantees to keep; every other duration is a ratio of one of them.
	Bounds Bounds `json:"bounds"`
	Site   *Site  `json:"-"` // nil if the core machines are named
}

// Bounds are what must hold; every other constant is a ratio of one of them.
type Bounds struct {
	ConfigMs              int `json:"setup_ms"`   // an old configuration is in use no longer than this
	KeyRevocationMs       int `json:"key_ms"`     // a revoked key works no longer than this
	LeaveMs               int `json:"leave_ms"`   // a worker that left gets requests no longer than this
	WeightsMs             int `json:"weights_ms"` // requests start on older weights no longer than this
	HealMs                int `json:"heal_ms"`    // service is restored within this after a fault
	RetryPercent          int `json:"try_share"`  // retries, percent of traffic
	RetryWindowMs         int `json:"try_span_ms"`
	RetryAllowance        int `json:"try_allow"` // retries beside the share, of a service at the whole site
	RequestIDRetentionMs  int `json:"once_ms"`   // a once-only id is remembered at least this long
	MaxBodyKB             int `json:"body_kb"`
	MaxConcurrentRequests int `json:"waiting"` // requests that one proxy holds at once
	MaxIndexEntries       int `json:"entries"` // prefix entries that one index node holds
}

// DefaultBounds holds the bounds of the Páramo site.
//
// Example: p.Bounds = settings.Default()
func DefaultBounds() Bounds {
	return Bounds{ConfigMs: 2000, KeyRevocationMs: 5000, LeaveMs: 3000, WeightsMs: 20000, HealMs: 12000,
		RetryPercent: 20, RetryWindowMs: 10000, RetryAllowance: 10, RequestIDRetentionMs: 1800000, MaxBodyKB: 512, MaxConcurrentRequests: 256, MaxIndexEntries: 60000}
}

// What keeps two holders of a lease apart, as ratios of the heal bound. A holder stops LeaseMarginRatio
// of a lease before its end, another gets it LeaseMarginRatio after it, and an order is under way for
// OrderTimeoutRatio: it must land in between.
const (
	LeaseRatio        = 1.0 / 4
	LeaseMarginRatio  = 1.0 / 8 // of a lease
	OrderTimeoutRatio = 1.0 / 24
)

// handoverGap is the time between the end of a holder's last order and the next holder's first.
func (b Bounds) handoverGap() time.Duration {
	return b.Heal(2*LeaseMarginRatio*LeaseRatio) - b.Heal(OrderTimeoutRatio)
}

func milliseconds(n int, ratio float64) time.Duration {
	return time.Duration(float64(n) * ratio * float64(time.Millisecond))
}

// Config is a ratio of the bound on old configurations.
//
// Example: b.Config(0.8) is how old a proof may be
func (b Bounds) Config(r float64) time.Duration { return milliseconds(b.ConfigMs, r) }

// Weights is a ratio of the bound on older weights.
//
// Example: b.Weights(0.85) is how long they may be selected
func (b Bounds) Weights(r float64) time.Duration { return milliseconds(b.WeightsMs, r) }

// Leave is a ratio of the bound on workers that left.
//
// Example: b.Leave(0.1) is the heartbeat interval
func (b Bounds) Leave(r float64) time.Duration { return milliseconds(b.LeaveMs, r) }

// Heal is a ratio of the bound on restored service.
//
// Example: b.Heal(0.25) is a lease
func (b Bounds) Heal(r float64) time.Duration { return milliseconds(b.HealMs, r) }

// RequestIDRetention is a ratio of how long IDs of once-only requests are remembered.
//
// Example: b.Once(1) is the whole of it
func (b Bounds) RequestIDRetention(r float64) time.Duration {
	return milliseconds(b.RequestIDRetentionMs, r)
}

// RetryWindow is a ratio of the window over which retries are counted.
//
// Example: b.Try(1) is the whole window
func (b Bounds) RetryWindow(r float64) time.Duration { return milliseconds(b.RetryWindowMs, r) }

// Required is which fields a program requires.
type Required struct {
	Seeds, Core, Data, NodeAgent, WorkerList, Public, Operator bool
}

// Read takes the settings file and the flags of a program, flags first, and checks all of
// it at once. Every fault is listed with its file, field and remedy.
//
// Example: p, err := settings.Read("runner", "the agent on a machine", os.Args[1:], settings.Required{Seeds: true})
func Read(prog, about string, args []string, need Required) (Process, error) {
	p := Process{Bounds: DefaultBounds()}
	var file, seeds, core, extra string
	var f Process
	ps := flaggy.NewParser(prog)
	ps.Description = about
	ps.ShowHelpOnUnexpected = false
	ps.DisableShowVersionWithVersion()
	ps.ShowCompletion = false
	ps.String(&file, "s", "settings", "settings file (JSON)")
	ps.String(&f.Name, "n", "name", "name of the machine or worker")
	ps.String(&f.Zone, "d", "district", "zone that it runs in")
	ps.String(&f.Listen, "l", "listen", "own address (IP:port) towards pebbleloom's processes")
	ps.String(&f.Public, "p", "public", "own address (IP:port) towards clients")
	ps.String(&f.Operator, "o", "operator", "own address (IP:port) towards operators")
	ps.String(&seeds, "", "seeds", "three seeds, joined by commas")
	ps.String(&core, "", "core", "names of the core machines, joined by commas")
	ps.String(&f.Data, "", "data", "data folder")
	ps.String(&f.NodeAgent, "", "runner", "address of the node agent beside it")
	ps.String(&f.WorkerList, "", "rank", "address where the platform lists workers")
	ps.String(&extra, "", "extra", "the program's own options, key=value joined by commas")
	var b errs.Batch
	arguments, err := ParseStrict(ps, args)
	if err == nil && len(arguments) > 0 {
		err = errs.New(errs.BadInput, "%q: %s takes flags alone: see --help", arguments, prog)
	}
	if err == nil {
		err = errs.WrapAs(ps.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return p, errs.WrapAs(err, errs.BadInput, "flags")
	}
	if file != "" {
		raw, err := os.ReadFile(file)
		b.Add("settings file "+file, errs.WrapAs(err, errs.BadInput, "read"))
		if err == nil {
			Decode(raw, file, &p, &b)
		}
	}
	applyFlags(&p, f, seeds, core, extra)
	if file == "" {
		file = "flags"
	}
	Validate(&p, need, file, &b)
	return p, b.Err()
}

// applyFlags replaces settings by the flags that were given; lists are joined by commas.
func applyFlags(p *Process, f Process, seeds, core, extra string) {
	over := func(to *string, v string) {
		if v != "" {
			*to = v
		}
	}
	over(&p.Name, f.Name)
	over(&p.Zone, f.Zone)
	over(&p.Listen, f.Listen)
	over(&p.Public, f.Public)
	over(&p.Operator, f.Operator)
	over(&p.Data, f.Data)
	over(&p.NodeAgent, f.NodeAgent)
	over(&p.WorkerList, f.WorkerList)
	for _, x := range []struct {
		to *[]string
		v  string
	}{{&p.Seeds, seeds}, {&p.Core, core}, {&p.Options, extra}} {
		if x.v != "" {
			*x.to = strings.Split(x.v, ",")
		}
	}
}

// Decode reads a settings file; unknown keys and wrong types are noted one by one.
//
// Example: settings.Decode(raw, "edge-1.json", &p, &b)
func Decode(raw []byte, file string, p *Process, b *errs.Batch) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(raw, &top); err != nil {
		b.Addf(errs.BadInput, "%s: not a JSON object (%v): write one with `name`, `district`, `listen`, `seeds`", file, err)
		return
	}
	fields := map[string]any{"name": &p.Name, "district": &p.Zone, "listen": &p.Listen, "tell": &p.Advertise, "public": &p.Public,
		"operator": &p.Operator, "operator_key": &p.OperatorKey, "seeds": &p.Seeds, "core": &p.Core, "data": &p.Data, "runner": &p.NodeAgent,
		"rank": &p.WorkerList, "extra": &p.Options}
	bf := map[string]*int{"setup_ms": &p.Bounds.ConfigMs, "key_ms": &p.Bounds.KeyRevocationMs, "leave_ms": &p.Bounds.LeaveMs,
		"weights_ms": &p.Bounds.WeightsMs, "heal_ms": &p.Bounds.HealMs, "try_share": &p.Bounds.RetryPercent,
		"try_span_ms": &p.Bounds.RetryWindowMs, "try_allow": &p.Bounds.RetryAllowance, "once_ms": &p.Bounds.RequestIDRetentionMs, "body_kb": &p.Bounds.MaxBodyKB, "waiting": &p.Bounds.MaxConcurrentRequests, "entries": &p.Bounds.MaxIndexEntries}
	var bounds map[string]json.RawMessage
	for _, k := range queue.Keys(top) {
		if k == "bounds" {
			if err := json.Unmarshal(top[k], &bounds); err != nil {
				b.Addf(errs.BadInput, "%s: bounds: not an object: write {\"setup_ms\": 2000, …}", file)
			}
			continue
		}
		to, ok := fields[k]
		if !ok {
			b.Addf(errs.BadInput, "%s: %s: unknown field: remove it (known: %s)", file, k, strings.Join(queue.Keys(fields), " "))
			continue
		}
		if err := json.Unmarshal(top[k], to); err != nil {
			b.Addf(errs.BadInput, "%s: %s: wrong type (%v): give what `docs/operate.md` shows", file, k, err)
		}
	}
	for _, k := range queue.Keys(bounds) {
		to, ok := bf[k]
		if !ok {
			b.Addf(errs.BadInput, "%s: bounds.%s: unknown field: remove it (known: %s)", file, k, strings.Join(queue.Keys(bf), " "))
		} else if err := json.Unmarshal(bounds[k], to); err != nil {
			b.Addf(errs.BadInput, "%s: bounds.%s: not a whole number: give one", file, k)
		}
	}
}

// Validate notes every fault of the settings.
//
// Example: settings.Check(&p, settings.Required{Data: true}, "core-1.json", &b)
func Validate(p *Process, need Required, file string, b *errs.Batch) {
	bad := func(field, format string, a ...any) { b.Addf(errs.BadInput, file+": "+field+": "+format, a...) }
	if p.Name == "" || strings.ContainsAny(p.Name, " ,/\x00") {
		bad("name", "%q: give a word without spaces, commas or slashes", p.Name)
	}
	if p.Zone == "" {
		bad("district", "missing: name the zone that this machine is in")
	}
	addr := func(field, v string, must bool) {
		if v == "" && !must {
			return
		}
		if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
			bad(field, "%q: give IP:port, by number", v)
		}
	}
	addr("listen", p.Listen, true)
	addr("tell", p.Advertise, false)
	addr("public", p.Public, need.Public)
	addr("operator", p.Operator, need.Operator)
	addr("runner", p.NodeAgent, need.NodeAgent)
	addr("rank", p.WorkerList, need.WorkerList)
	if n := len(p.OperatorKey); n != 0 && (n < 16 || n > 128 || strings.ContainsAny(p.OperatorKey, " \t\r\n")) {
		bad("operator_key", "%d letters: give 16 to 128 without spaces, or none", n)
	}
	if need.Seeds && len(p.Seeds) != 3 {
		bad("seeds", "%d given: give three addresses of other processes", len(p.Seeds))
	}
	for _, s := range p.Seeds {
		addr("seeds", s, true)
	}
	if need.Core && len(p.Core) != 4 {
		bad("core", "%d given: name the four core machines", len(p.Core))
	}
	if need.Data && p.Data == "" {
		bad("data", "missing: name the data folder on this machine's disk")
	}
	rng := func(field string, v, lo, hi int) {
		if v < lo || v > hi {
			bad("bounds."+field, "%d: give %d to %d", v, lo, hi)
		}
	}
	rng("setup_ms", p.Bounds.ConfigMs, 200, 60000)
	rng("key_ms", p.Bounds.KeyRevocationMs, p.Bounds.ConfigMs, 120000)
	rng("leave_ms", p.Bounds.LeaveMs, 300, 60000)
	rng("weights_ms", p.Bounds.WeightsMs, p.Bounds.ConfigMs, 600000)
	rng("heal_ms", p.Bounds.HealMs, 1000, 600000)
	rng("try_share", p.Bounds.RetryPercent, 0, 100)
	rng("try_span_ms", p.Bounds.RetryWindowMs, 1000, 600000)
	rng("try_allow", p.Bounds.RetryAllowance, 0, 10000)
	rng("once_ms", p.Bounds.RequestIDRetentionMs, 600000, 86400000) // no request waits longer than the minimum
	if p.Bounds.HealMs > 0 && p.Bounds.handoverGap() < p.Bounds.Heal(OrderTimeoutRatio)/4 {
		bad("bounds.heal_ms", "%d: an order could land after the next holder's first: give more", p.Bounds.HealMs)
	}
	rng("body_kb", p.Bounds.MaxBodyKB, 1, 16384)
	rng("waiting", p.Bounds.MaxConcurrentRequests, 1, 65536)
	rng("entries", p.Bounds.MaxIndexEntries, 100, 10000000)
}

// AdvertisedAddr is the address that other processes get.
//
// Example: node.Addr = p.AdvertisedAddr()
func (p Process) AdvertisedAddr() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// Dialer makes connections from this process's own address.
//
// Example: c, err := p.Dialer().DialContext(ctx, "tcp", addr)
func (p Process) Dialer() *net.Dialer {
	d := &net.Dialer{Timeout: p.Bounds.Leave(1.0 / 3)}
	if a, err := netip.ParseAddrPort(p.Listen); err == nil {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a.Addr(), 0))
	}
	return d
}

// Option returns a program's own option from Extra, or a default.
//
// Example: p.Option("slots", "2") gives "4" when the extras hold "slots=4"
func (p Process) Option(key, or string) string {
	for _, e := range p.Options {
		if v, ok := strings.CutPrefix(e, key+"="); ok {
			return v
		}
	}
	return or
}
