package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Traffic of the case: clients of one zone upload bodies within the limits of the configuration, in chunks.
const (
	uploadBytes  = 4_000_000 // maxBodyBytes is 4,194,304
	uploadFor    = 6 * time.Second
	calmUploads  = 6  // new uploads a second at one machine
	burstUploads = 20 // the same in a burst: 3.3 times as many, within twice the burst of the site files (1.7)
	burstFor     = 10 * time.Second
	burstsWant   = 3
	sampleEvery  = 10 * time.Millisecond
)

// playMemory sends bursts of uploads to two edge machines. The platform ends a process whose memory is over its limit,
// and starts it again.
func playMemory(s *site, trouble bool) (bool, error) {
	if err := s.startSite(3, 2); err != nil {
		return false, err
	}
	w, err := startWorker(s, "worker-1", "i-1", "huvo11a", model)
	if err != nil {
		return false, err
	}
	list := []instance{w.instance()}
	if err := servePlatform(s.platform, func() []instance { return list }); err != nil {
		return false, err
	}
	operator := &operator{s, 3}
	if err := operator.send("replace", 0, planOf(1, false, "streaming")); err != nil {
		return false, err
	}
	watch := &memoryWatch{site: s, ends: map[string]int{}, peak: map[string]int{}}
	stop := make(chan struct{})
	defer close(stop)
	go watch.run(stop)
	for burst := range burstsWant {
		if err := s.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(contactWindow)
		rate := calmUploads
		if trouble {
			rate = burstUploads
		}
		watch.upload(burst, rate)
	}
	return watch.verdict(), nil
}

// memoryWatch plays the platform's limit on memory.
type memoryWatch struct {
	site *site
	mu   sync.Mutex
	ends map[string]int // by process: how often its memory was over the limit
	peak map[string]int // by process: most resident memory, in kB
}

func (m *memoryWatch) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleEvery):
		}
		for name, p := range m.site.processes {
			if p.role != "edge" {
				continue
			}
			resident := residentKB(p.command.Process.Pid)
			m.mu.Lock()
			m.peak[name] = max(m.peak[name], resident)
			m.mu.Unlock()
			if resident > edgeMemoryMB*1024 {
				m.end(name, resident)
			}
		}
	}
}

// end kills a process that is over its limit and starts it again after a short delay.
func (m *memoryWatch) end(name string, resident int) {
	m.mu.Lock()
	m.ends[name]++
	m.mu.Unlock()
	m.site.record.line("platform: %s holds %d kB, over its limit of %d MB: killed", name, resident, edgeMemoryMB)
	m.site.signal(name, syscall.SIGKILL)
	<-m.site.processes[name].exited
	time.Sleep(300 * time.Millisecond)
	if err := m.site.restartLater(name); err != nil {
		m.site.record.line("platform: %s couldn't be started again: %v", name, err)
	}
}

func residentKB(pid int) (kB int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(status), "VmRSS:")
	if ok {
		fmt.Sscan(rest, &kB)
	}
	return kB
}

// upload starts rate uploads a second at each edge machine for the time of a burst and waits for their answers.
func (m *memoryWatch) upload(burst, rate int) {
	var uploads sync.WaitGroup
	statuses := map[int]int{}
	begin := time.Now()
	for i := range int(burstFor.Seconds()) * rate {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		for _, edge := range []string{"edge-1", "edge-2"} {
			uploads.Go(func() {
				request := clientRequest{id: fmt.Sprintf("upload-%d-%d-%s", burst, i, edge), key: "key-of-fida11", path: "/lohu930/2f",
					deadline: requestDeadline, body: uploadBytes, chunked: os.Getenv("LENGTH") == "", sendFor: uploadFor}
				answer := request.send(m.site.address(edge, frontendOffset))
				m.site.record.line("client: %s to %s, %d bytes, in chunks: %v: %v", request.id, edge, request.body, request.chunked, answer)
				m.mu.Lock()
				statuses[answer.status]++
				m.mu.Unlock()
			})
		}
	}
	uploads.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.site.record.line("burst %d at %d uploads a second: answers by status (0: none) %v, most memory in kB %v, ends %v", burst, rate, statuses, m.peak, m.ends)
}

// verdict reports whether processes ended three times on each of two edge machines, for memory over the limit.
func (m *memoryWatch) verdict() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	const machines, ends = 2, 3
	often := 0
	for _, count := range m.ends {
		if count >= ends {
			often++
		}
	}
	return often >= machines
}
