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
	usage := map[string]ResourceUsage{}
	env, ok := f.env.(*localEnvironment)
	if !ok {
		return usage
	}
	for _, process := range f.Site.Processes {
		env.mu.Lock()
		command := env.processes[process.Name]
		env.mu.Unlock()
		if command == nil || command.Process == nil {
			continue
		}
		total := usage[process.Program]
		total.Processes++
		total.PeakMB = max(total.PeakMB, peakMemoryMB(command.Process.Pid))
		total.CPUShare = max(total.CPUShare, cpuPercent(command.Process.Pid))
		usage[process.Program] = total
	}
	return usage
}

func peakMemoryMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // it has ended
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64); err == nil {
				return kilobytes / 1024
			}
		}
	}
	return 0
}

// cpuPercent is the share of one core since the process started, in percent.
func cpuPercent(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	uptime, uptimeErr := os.ReadFile("/proc/uptime")
	if err != nil || uptimeErr != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	number := func(s string) float64 {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0
		}
		return n
	}
	if len(fields) < 20 {
		return 0
	}
	const ticks = 100 // a second, as Linux counts for user space
	elapsed := number(strings.Fields(string(uptime))[0]) - number(fields[19])/ticks
	if elapsed <= 0 {
		return 0
	}
	return (number(fields[11]) + number(fields[12])) / ticks / elapsed * 100
}
