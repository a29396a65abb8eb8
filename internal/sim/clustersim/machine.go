package clustersim

import (
	"net/netip"
	"sync"
	"time"

	"pebbleloom/internal/settings"
)

// machine is a simulated machine: the boot clock, the wall clock and the disk that its processes share.
type machine struct {
	name          string
	begin         time.Time
	bootOffset    time.Duration // boot clock reading when the simulation of the machine began, at the time in the field begin
	drift         float64       // relative error of the boot clock's rate; 0.0001 is 0.1 ms per second fast
	mu            sync.Mutex
	wallClockJump time.Duration // offset of the wall clock from virtual time
	diskFault     string        // disk fault in the format of storage.ParseFault
	disk          map[string][]byte
	lastWriter    map[string]*proc // process that wrote each file last, by path
}

// now returns the time since the machine's boot, with the drift of its clock.
func (m *machine) now() time.Duration {
	d := time.Since(m.begin)
	return m.bootOffset + d + time.Duration(float64(d)*m.drift)
}

func (m *machine) wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Add(m.wallClockJump)
}

func (m *machine) fault() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.diskFault
}

func (m *machine) read(folder, name string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.disk[folder+"/"+name]
	return append([]byte(nil), b...), ok
}

// write replaces the content of a file by the result of change. A write of a killed process that completes late is
// dropped if another process has written the file since.
func (m *machine) write(p *proc, folder, name string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := folder + "/" + name
	if last := m.lastWriter[key]; last != nil && last != p && isClosed(p.dead) {
		return
	}
	m.disk[key], m.lastWriter[key] = change(m.disk[key]), p
}

func (m *machine) ip(p settings.Process) netip.Addr {
	if a, err := netip.ParseAddrPort(p.Listen); err == nil {
		return a.Addr()
	}
	return netip.MustParseAddr("127.0.0.1")
}
