package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, as the deploy file builds it.
const program = "target/pebbleloom"

// Figures of the small deployment paramo-lector.
const (
	edgeMemoryMB  = 284
	coreMemoryMB  = 280
	contactWindow = 3 * time.Second
	configApply   = 2 * time.Second
)

// process is one process of the system, and what is needed to start it again.
type process struct {
	role, settingsFile, logFile string
	command                     *exec.Cmd
	exited                      chan struct{} // closed when the current command has ended
}

// site is a small deployment on loopback addresses: core machines, edge machines and the platform's worker list.
type site struct {
	folder    string // temporary folder with settings files, logs and disks
	network   string // first three bytes of the machines' addresses
	port      int    // first port of the internal range
	platform  string // address of the platform's worker list
	machines  map[string]string
	processes map[string]*process
	seeds     []string
	record    *recorder

	mu      sync.Mutex // guards the commands of processes, and stopped
	stopped bool
}

// newSite chooses addresses whose ports are free and creates the temporary folder.
func newSite(record *recorder) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, machines: map[string]string{}, processes: map[string]*process{}, record: record}
	for attempt := range 200 {
		s.network = fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+attempt)%60, (os.Getpid()/60+attempt)%250)
		s.port = 21000 + (os.Getpid()*7+attempt*101)%9000
		if portsAreFree(s.network, s.port, s.port+workerOffset) {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// maxMachines is the most machines that a case has, with the platform and the workers.
const maxMachines = 12

func portsAreFree(network string, first, last int) bool {
	for machine := 1; machine <= maxMachines; machine++ {
		for port := first; port <= last; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, machine, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// address returns a machine's address with a port given by its offset from the first internal port. Offsets 16 to 20
// are the ports for callers from outside.
func (s *site) address(machine string, offset int) string {
	return fmt.Sprintf("%s:%d", s.machines[machine], s.port+offset)
}

const (
	frontendOffset  = 16
	readinessOffset = 17
	controlOffset   = 18
	listOffset      = 19
	workerOffset    = 20
)

func (s *site) addMachine(name string) {
	s.machines[name] = fmt.Sprintf("%s.%d", s.network, len(s.machines)+1)
}

// startSite starts the given numbers of core and edge machines with the roles of the deploy file.
func (s *site) startSite(cores, edges int) error {
	s.addMachine("platform")
	s.platform = s.address("platform", listOffset)
	for i := range cores {
		s.addMachine(fmt.Sprintf("core-%d", i+1))
	}
	for i := range edges {
		s.addMachine(fmt.Sprintf("edge-%d", i+1))
	}
	for i := range min(cores, 3) {
		s.seeds = append(s.seeds, s.address(fmt.Sprintf("core-%d", i+1), controlOffset))
	}
	for i := range cores {
		name := fmt.Sprintf("core-%d", i+1)
		for _, role := range []string{"state", "index"} {
			if err := s.addProcess(name, role); err != nil {
				return err
			}
		}
	}
	for i := range edges {
		if err := s.addProcess(fmt.Sprintf("edge-%d", i+1), "edge"); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) addProcess(machine, role string) error {
	name := machine + "/" + role
	base := filepath.Join(s.folder, machine+"-"+role)
	p := &process{role: role, settingsFile: base + ".toml", logFile: base + ".log"}
	s.processes[name] = p
	if err := os.WriteFile(p.settingsFile, []byte(s.settings(machine, role, true)), 0o600); err != nil {
		return err
	}
	return s.start(name)
}

// start starts a process, also after it has ended.
func (s *site) start(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return fmt.Errorf("the case has ended")
	}
	p := s.processes[name]
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "LANG=C.UTF-8", "PEBBLELOOM_SETTINGS=" + p.settingsFile}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), p.command
	p.exited = exited
	go func() { _ = command.Wait(); close(exited) }()
	return nil
}

// restartLater marks that the whole system has started before, as the platform does in the settings of later starts.
func (s *site) restartLater(name string) error {
	machine, role, _ := strings.Cut(name, "/")
	if err := os.WriteFile(s.processes[name].settingsFile, []byte(s.settings(machine, role, false)), 0o600); err != nil {
		return err
	}
	return s.start(name)
}

func (s *site) signal(name string, sig syscall.Signal) {
	_ = s.processes[name].command.Process.Signal(sig)
}

// stop ends all processes and removes the temporary folder. None is started after it.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	for _, p := range s.processes {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
		}
	}
	for _, p := range s.processes {
		if p.exited != nil {
			<-p.exited
		}
	}
	_ = os.RemoveAll(s.folder)
}

// settings returns the settings file of a process, in the form of the platform's page DEPLOY.
func (s *site) settings(machine, role string, firstStart bool) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, memory := "edge", edgeMemoryMB
	if strings.HasPrefix(machine, "core") {
		class, memory = "core", coreMemoryMB
	}
	serves := map[string]string{"edge": `["edge"]`, "state": `["control"]`, "index": "[]"}[role]
	line("nodeName = %q", machine)
	line("role = %q\nmachineClass = %q\nserves = %s", role, class, serves)
	line("ipAddress = %q\nzone = \"quito-norte\"\nregion = \"sierra-norte\"", s.machines[machine])
	line("internalPortRange = [%d,%d]", s.port, s.port+15)
	line("seedNodes = [\"%s\"]", strings.Join(s.seeds, `","`))
	line("firstStart = %v\ncountsTowardQuorum = %v", firstStart, class == "core")
	line("discoverySource = \"cloud_api\"\nentryType = \"virtual_ip\"\nheartbeatIntervalMs = 1200")
	line(`contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants"]`)
	if class == "core" {
		line("dataDirectory = %q", filepath.Join(s.folder, "disk-"+machine))
	}
	line("[zones]\nquito-norte = \"sierra-norte\"\n[listenAddrs]")
	switch role {
	case "edge":
		line("frontend = %q\nreadiness = %q", s.address(machine, frontendOffset), s.address(machine, readinessOffset))
	case "state":
		line("controlPlane = %q", s.address(machine, controlOffset))
	}
	line("[limits]\ncpuShare = 0.4\ncpuCores = 1\nmemoryMb = %d\nmaxFileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 128", memory)
	line("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]")
	line("seedLagS = 3\nreuseAfterS = 2\ncontactWindowMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainTimeoutMs = 3000\ngracePeriodS = 8")
	line("lossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\nmaxStretchMs = 5000\nrevocationEnforced = true\nrevokeTimeoutMs = 5000")
	line("retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetExtra = 58\nrecoveryTimeS = 12\ntransitMs = 120\nfencingEnforced = true")
	line("leaseDurationMs = 3000\nthawSlackMs = 300\nversionTimeoutMs = 12000\n[cloudApi]")
	line("address = %q\nratePerS = 47.0\nduties = []\nmaxLagMs = 800", s.platform)
	return b.String()
}

// awaitReady waits until every edge machine answers the readiness check with 200.
func (s *site) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for name := range s.processes {
			machine, role, _ := strings.Cut(name, "/")
			if role == "edge" {
				response, err := client.Get("http://" + s.address(machine, readinessOffset) + "/pebbleloom/readiness")
				if err == nil {
					response.Body.Close()
				}
				ready = ready && err == nil && response.StatusCode == http.StatusOK
			}
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("not every edge machine was ready within %v", limit)
}
