// Package capacity measures the resource use of each role of the fleet as one size grows at a time, and generates the
// page docs/CAPACITY.md from it: every figure is slope × size + base. Real components run over loopback connections.
// Where they wouldn't fit on one machine, hollow nodes that share a process speak the real protocol with the real code.
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

// Point is the result of one run at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a quantity measured as one size grows, with everything else unchanged.
type Series struct {
	Name   string  `json:"name"`
	Part   string  `json:"part"` // of the measurement, as Measure takes it
	Factor string  `json:"factor"`
	Unit   string  `json:"unit"`
	How    string  `json:"how"`
	Points []Point `json:"points"`
}

// Measured holds the results of a run of the measuring command.
type Measured struct {
	Command string   `json:"command"`
	Machine string   `json:"machine"`
	Series  []Series `json:"series"`
}

// bench runs parts one after another and collects their series.
type bench struct {
	quick   bool
	log     io.Writer
	repeats int
	out     []Series
}

// kind describes a quantity that a part measures.
type kind struct{ name, unit, how string }

// sizes returns the sizes of a full run, or as many small ones for a quick run.
func (b *bench) sizes(full ...float64) []float64 {
	if !b.quick {
		return full
	}
	small := make([]float64, len(full))
	for i := range full {
		small[i] = float64(4 * (i + 1))
	}
	return small
}

// vary measures several quantities while one factor grows. Each repeat covers all sizes, so that a busy phase of the
// machine doesn't affect a single size only.
func (b *bench) vary(part, factor string, sizes []float64, kinds []kind, measureSize func(size float64) ([]float64, error)) error {
	series := make([]Series, len(kinds))
	for i, quantity := range kinds {
		series[i] = Series{Name: quantity.name, Part: part, Factor: factor, Unit: quantity.unit, How: quantity.how}
	}
	for range b.repeats {
		for _, size := range sizes {
			values, err := measureSize(size)
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

// cpu returns the processor time that this process has used, in µs.
func cpu() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	us := func(t syscall.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }
	return us(u.Utime) + us(u.Stime)
}

// spend returns the processor time of one operation in µs. It doubles the number of operations until they exceed the
// resolution of the clock by far.
func (b *bench) spend(op func()) float64 {
	enough := 2e5
	if b.quick {
		enough = 2e3
	}
	for n := 1; ; n *= 2 {
		cpuBefore := cpu()
		for range n {
			op()
		}
		if d := cpu() - cpuBefore; d >= enough || n >= 1<<24 {
			return d / float64(n)
		}
	}
}

// heap returns the bytes in use on the heap after a garbage collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// parts are the parts that can be measured, in order.
var parts = []struct {
	name string
	run  func(*bench) error
}{{"nodes", measureMembership}, {"workers", measureWorkers}, {"plans", measurePlans}, {"kept", measureIndex}, {"placement", measurePlacements}, {"calls", measureCalls}, {"follow", measureFollowers}, {"group", measureGroup}, {"traffic", measureTraffic}}

// Measure runs one part, or all of them (""). With quick the sizes are too small for meaningful figures; progress is
// written to log. It fails with errs.BadInput for an unknown part.
//
// Example: m, err := capacity.Measure("nodes", false, os.Stderr)
func Measure(part string, quick bool, log io.Writer) (*Measured, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
	bench := &bench{quick: quick, log: log, repeats: 3}
	known := false
	for _, candidate := range parts {
		if part != "" && part != candidate.name {
			continue
		}
		known = true
		if err := candidate.run(bench); err != nil {
			return nil, errs.Wrap(err, "part "+candidate.name)
		}
	}
	if !known {
		var names []string
		for _, candidate := range parts {
			names = append(names, candidate.name)
		}
		return nil, errs.New(errs.BadInput, "part %q: give one of %s", part, strings.Join(names, ", "))
	}
	return &Measured{Command: "testbed capacity", Machine: machine(), Series: bench.out}, nil
}

// threads is the number of threads that a measurement uses.
const threads = 4

// machine describes the machine that the figures were measured on.
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

// Join returns the series of both runs; those of the later run m replace those of the same name in old.
//
// Example: all := capacity.Join(old, m)
func Join(old, m *Measured) *Measured {
	if old == nil {
		return m
	}
	joined := slices.Clone(old.Series)
	for _, added := range m.Series {
		i := slices.IndexFunc(joined, func(o Series) bool { return o.Name == added.Name })
		if i < 0 {
			joined = append(joined, added)
		} else {
			joined[i] = added
		}
	}
	return &Measured{m.Command, m.Machine, joined}
}

// Read parses a file of measured series. It fails with errs.BadInput if the file is malformed.
//
// Example: m, err := capacity.Read(raw)
func Read(raw []byte) (*Measured, error) {
	m := &Measured{}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "measured series")
	}
	return m, nil
}

// Write formats the series as a file, each in a few lines, so that a diff shows which have changed.
//
// Example: raw, err := m.Write()
func (m *Measured) Write() ([]byte, error) {
	var text strings.Builder
	enc := func(v any) string {
		raw, err := json.Marshal(v)
		if err != nil {
			return "null"
		}
		return string(raw)
	}
	fmt.Fprintf(&text, "{\n \"command\": %s,\n \"machine\": %s,\n \"series\": [\n", enc(m.Command), enc(m.Machine))
	for i, entry := range m.Series {
		fmt.Fprintf(&text, "  {\"name\": %s, \"part\": %s, \"factor\": %s, \"unit\": %s,\n   \"how\": %s,\n   \"points\": %s}", enc(entry.Name), enc(entry.Part), enc(entry.Factor), enc(entry.Unit), enc(entry.How), enc(entry.Points))
		if i < len(m.Series)-1 {
			text.WriteString(",")
		}
		text.WriteString("\n")
	}
	text.WriteString(" ]\n}\n")
	_, err := Read([]byte(text.String()))
	return []byte(text.String()), err
}

// allocated returns the bytes that were allocated since the start of the process.
func allocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}
