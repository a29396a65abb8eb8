package testbed

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"pebbleloom/internal/sim/loadgen"
)

// RunResult is the result of a run of a site without faults.
type RunResult struct {
	loadgen.Summary
	Usage map[string]ResourceUsage `json:"usage"`
}

// ResourceUsage is the resource use of a program's processes; figures are the maximum over them.
type ResourceUsage struct {
	Processes int     `json:"processes"`
	PeakMB    float64 `json:"peak_mb"`     // resident memory at its peak
	CPUShare  float64 `json:"cpu_percent"` // of one core, from its start
}

// Usage reads the resource use of the running processes, by program; it is empty in a simulated environment.
//
// Example: for program, usage := range fleet.Usage() { fmt.Println(program, usage.PeakMB) }
func (f *Fleet) Usage() map[string]ResourceUsage {
	m := map[string]ResourceUsage{}
	on, real := f.env.(*localEnvironment)
	if !real {
		return m
	}
	for _, p := range f.Site.Processes {
		on.mu.Lock()
		c := on.processes[p.Name]
		on.mu.Unlock()
		if c == nil || c.Process == nil {
			continue
		}
		u := m[p.Program]
		u.Processes++
		u.PeakMB = max(u.PeakMB, peakMemoryMB(c.Process.Pid))
		u.CPUShare = max(u.CPUShare, cpuPercent(c.Process.Pid))
		m[p.Program] = u
	}
	return m
}

func peakMemoryMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // it has ended
	}
	for _, l := range strings.Split(string(raw), "\n") {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			if n, err := strconv.ParseFloat(strings.Fields(v)[0], 64); err == nil {
				return n / 1024
			}
		}
	}
	return 0
}

// cpuPercent is the share of one core since the process started, in percent.
func cpuPercent(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	up, err2 := os.ReadFile("/proc/uptime")
	if err != nil || err2 != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fs := strings.Fields(rest)
	num := func(s string) float64 {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0
		}
		return n
	}
	if len(fs) < 20 {
		return 0
	}
	const ticks = 100 // a second, as Linux counts for user space
	lived := num(strings.Fields(string(up))[0]) - num(fs[19])/ticks
	if lived <= 0 {
		return 0
	}
	return (num(fs[11]) + num(fs[12])) / ticks / lived * 100
}
