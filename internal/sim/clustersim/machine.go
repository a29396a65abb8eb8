package clustersim

import (
	"net/netip"
	"sync"
	"time"

	"pebbleloom/internal/settings"
)

// machine holds what the processes of a machine share: clocks and a disk.
type machine struct {
	name          string
	begin         time.Time
	bootOffset    time.Duration // from its boot to begin
	drift         float64       // of the boot clock, as a share
	mu            sync.Mutex
	wallClockJump time.Duration // offset of the wall clock
	diskFault     string        // as storage.ParseFault reads it
	disk          map[string][]byte
	lastWriter    map[string]*proc // process incarnation that wrote a file last
}

// now returns the boot clock.
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

// write changes a file. A late write of a dead process is dropped if another process has written the file since.
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
