package testbed

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"pebbleloom/internal/sim/loadgen"
)

// RunResult is the result of a run of a site under client traffic, without injected faults.
type RunResult struct {
	loadgen.Summary
	Usage map[string]ResourceUsage `json:"usage"` // resource use by name of the program
}

// ResourceUsage is the resource use of the processes of one program. PeakMB and CPUShare are the maximum over the
// processes.
type ResourceUsage struct {
	Processes int     `json:"processes"`
	PeakMB    float64 `json:"peak_mb"`     // peak resident memory in units of 1024 * 1024 bytes
	CPUShare  float64 `json:"cpu_percent"` // average CPU use since the start of the process, in percent of one core
}

// Usage returns the resource use of the running processes, by program. It is empty if the environment isn't this
// machine.
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
		return 0 // the process has ended
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

// cpuPercent returns the average CPU use of a process since its start, in percent of one core; 0 if it can't be read.
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
	const ticks = 100 // clock ticks per second, the unit of times in /proc/PID/stat on Linux
	elapsed := number(strings.Fields(string(uptime))[0]) - number(fields[19])/ticks
	if elapsed <= 0 {
		return 0
	}
	return (number(fields[11]) + number(fields[12])) / ticks / elapsed * 100
}
