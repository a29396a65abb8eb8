// Package capacity measures what each role of the fleet costs as one size grows at a time, and works
// the page docs/CAPACITY.md out from that: every figure is slope × size + base. Real parts run over
// real loopback connections; where they wouldn't fit on one machine, hollow nodes that share a
// process speak the real protocol with the real code.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"

	"pebbleloom/internal/errs"
)

// Point is one run at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity as one size grows, all else the same.
type Series struct {
	Name   string  `json:"name"`
	Part   string  `json:"part"` // of the measuring command
	Factor string  `json:"factor"`
	Unit   string  `json:"unit"`
	How    string  `json:"how"`
	Points []Point `json:"points"`
}

// Measured is a run of the measuring command.
type Measured struct {
	Command string   `json:"command"`
	Machine string   `json:"machine"`
	Series  []Series `json:"series"`
}

// bench runs parts one after another and keeps what they measured.
type bench struct {
	quick   bool
	log     io.Writer
	repeats int
	out     []Series
}

// kind is one quantity that a part measures.
type kind struct{ name, unit, how string }

// sizes are those of a full run, or their small stand-ins for a quick one.
func (b *bench) sizes(full ...float64) []float64 {
	if !b.quick {
		return full
	}
	l := make([]float64, len(full))
	for i := range full {
		l[i] = float64(4 * (i + 1))
	}
	return l
}

// vary measures several quantities while one factor grows. The repeats go round over all sizes, so
// that a busy moment of the machine spoils no size alone.
func (b *bench) vary(part, factor string, sizes []float64, kinds []kind, run func(size float64) ([]float64, error)) error {
	series := make([]Series, len(kinds))
	for i, quantity := range kinds {
		series[i] = Series{Name: quantity.name, Part: part, Factor: factor, Unit: quantity.unit, How: quantity.how}
	}
	for range b.repeats {
		for _, size := range sizes {
			values, err := run(size)
			if err != nil {
				return errs.Wrap(err, fmt.Sprintf("%s at %v %s", part, size, factor))
			}
			for i := range series {
				series[i].Points = append(series[i].Points, Point{size, values[i]})
			}
		}
	}
	for i := range series {
		slices.SortStableFunc(series[i].Points, func(a, b Point) int { return int(a.Size - b.Size) })
		b.out = append(b.out, series[i])
		line := fit(&series[i])
		fmt.Fprintf(b.log, "%-22s %-10s slope %.4g base %.4g residual %.0f%% spread %.0f%% %s\n", series[i].Name, factor, line.Slope, line.Base, 100*line.Residual, 100*line.Spread, series[i].Unit)
	}
	return nil
}

// cpu is the processor time that this process has used, in µs.
func cpu() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	us := func(t syscall.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }
	return us(u.Utime) + us(u.Stime)
}

// spend is the processor time of one operation in µs, by doubling how many are done until they
// have taken long enough to be told from the clock's grain.
func (b *bench) spend(op func()) float64 {
	enough := 2e5
	if b.quick {
		enough = 2e3
	}
	for n := 1; ; n *= 2 {
		at := cpu()
		for range n {
			op()
		}
		if d := cpu() - at; d >= enough || n >= 1<<24 {
			return d / float64(n)
		}
	}
}

// heap is how many bytes live on the heap after a collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// parts are what can be measured, in order.
var parts = []struct {
	name string
	run  func(*bench) error
}{{"nodes", measureMembership}, {"workers", measureWorkers}, {"plans", measurePlans}, {"kept", measureIndex}, {"placement", measurePlacements}, {"calls", measureCalls}, {"follow", measureFollowers}, {"group", measureGroup}, {"traffic", measureTraffic}}

// Measure runs one part, or all of them ("").
//
// Example: m, err := capacity.Measure("nodes", false, os.Stderr)
func Measure(part string, quick bool, log io.Writer) (*Measured, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
	b := &bench{quick: quick, log: log, repeats: 3}
	known := false
	for _, p := range parts {
		if part != "" && part != p.name {
			continue
		}
		known = true
		if err := p.run(b); err != nil {
			return nil, errs.Wrap(err, "part "+p.name)
		}
	}
	if !known {
		var l []string
		for _, p := range parts {
			l = append(l, p.name)
		}
		return nil, errs.New(errs.BadInput, "part %q: give one of %s", part, strings.Join(l, ", "))
	}
	return &Measured{Command: "testbed capacity", Machine: machine(), Series: b.out}, nil
}

// threads is how many a measurement uses at once.
const threads = 4

// machine says what the figures were measured on.
func machine() string {
	name := "unknown processor"
	raw, _ := os.ReadFile("/proc/cpuinfo")
	for l := range strings.Lines(string(raw)) {
		if k, v, ok := strings.Cut(l, ":"); ok && strings.TrimSpace(k) == "model name" {
			name = strings.TrimSpace(v)
			break
		}
	}
	return fmt.Sprintf("%s, %s/%s, %s, %d threads", name, runtime.GOOS, runtime.GOARCH, runtime.Version(), threads)
}

// Join lays the series of a run over those of an older one.
//
// Example: all := capacity.Join(old, m)
func Join(old, m *Measured) *Measured {
	if old == nil {
		return m
	}
	l := slices.Clone(old.Series)
	for _, s := range m.Series {
		i := slices.IndexFunc(l, func(o Series) bool { return o.Name == s.Name })
		if i < 0 {
			l = append(l, s)
		} else {
			l[i] = s
		}
	}
	return &Measured{m.Command, m.Machine, l}
}

// Read reads a file of measured series.
//
// Example: m, err := capacity.Read(raw)
func Read(raw []byte) (*Measured, error) {
	m := &Measured{}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "measured series")
	}
	return m, nil
}

// Write is the file's form: a series is a few lines, so that a change of one is read as one.
//
// Example: raw, err := m.Write()
func (m *Measured) Write() ([]byte, error) {
	var s strings.Builder
	enc := func(v any) string {
		raw, err := json.Marshal(v)
		if err != nil {
			return "null"
		}
		return string(raw)
	}
	fmt.Fprintf(&s, "{\n \"command\": %s,\n \"machine\": %s,\n \"series\": [\n", enc(m.Command), enc(m.Machine))
	for i, x := range m.Series {
		fmt.Fprintf(&s, "  {\"name\": %s, \"part\": %s, \"factor\": %s, \"unit\": %s,\n   \"how\": %s,\n   \"points\": %s}", enc(x.Name), enc(x.Part), enc(x.Factor), enc(x.Unit), enc(x.How), enc(x.Points))
		if i < len(m.Series)-1 {
			s.WriteString(",")
		}
		s.WriteString("\n")
	}
	s.WriteString(" ]\n}\n")
	_, err := Read([]byte(s.String()))
	return []byte(s.String()), err
}

// allocated is how many bytes were ever allocated.
func allocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}
