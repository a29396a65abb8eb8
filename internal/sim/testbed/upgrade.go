package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"pebbleloom/internal/errs"
)

// younger are the settings that the first release doesn't know yet: it is started without.
var younger = map[string][]string{"": {"operator_key"}, "bounds": {"try_allow", "once_ms"}}

// forOld is a place as the first release reads it.
func forOld(p Process) (map[string]any, error) {
	raw, err := json.Marshal(p.Place)
	if err != nil {
		return nil, errs.Wrap(err, "write settings")
	}
	m := map[string]any{}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, errs.Wrap(err, "write settings")
	}
	for in, ks := range younger {
		for _, k := range ks {
			if in == "" {
				delete(m, k)
			} else if b, ok := m[in].(map[string]any); ok {
				delete(b, k)
			}
		}
	}
	return m, nil
}

// swap stops a process and starts it from another folder of programs.
func (f *Fleet) swap(name, bin string) error {
	for i := range f.Site.Processes {
		p := &f.Site.Processes[i]
		if p.Name != name {
			continue
		}
		if err := f.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		<-time.After(p.Place.Bounds.Leave(0.3)) // it hands over and ends its streams
		_ = f.Signal(name, syscall.SIGKILL)     // it may have ended by itself
		p.Bin = bin
		if err := f.on.Put(*p); err != nil {
			return err
		}
		return f.Start(name)
	}
	return errs.New(errs.NotFound, "process %q", name)
}

// Upgrade runs a site of an earlier release, brings it to the present one machine by machine
// under traffic, and back: core machines first on the way up, and last on the way down.
//
// Example: rep, err := testbed.Upgrade(ctx, testbed.Options{Site: "paramo", Bin: "bin", Old: "/tmp/old-bin", Dir: dir, Net: 10})
func Upgrade(ctx context.Context, o Options) (*Report, error) {
	sc := Scenario{Name: "upgrade", About: "an earlier release is upgraded machine by machine, and back", Site: o.Site, Rate: 25, ReadAll: true, Least: 0.97}
	var ms []string
	for i := range 4 {
		ms = append(ms, each(onCore, []string{fmt.Sprintf("core-%d", i+1)}))
	}
	for i := range 9 {
		ms = append(ms, each(onEdge, []string{fmt.Sprintf("edge-%d", i+1)}))
	}
	at := 1000
	for i := range 2 * len(ms) {
		to, m := "new", ms[min(i, len(ms)-1)]
		if i >= len(ms) {
			to, m = "old", ms[2*len(ms)-1-i]
		}
		sc.Steps = append(sc.Steps, Step{At: at, Do: "swap", Who: m, To: to})
		if at += 3000; i%5 == 2 {
			sc.Steps = append(sc.Steps, Step{At: at - 500, Do: "storm", To: "3"})
		}
	}
	return PlayOn(ctx, sc, o, func(s *Site) (Ground, error) {
		for i := range s.Processes {
			p := &s.Processes[i]
			if strings.HasPrefix(p.Place.Name, "core-") || strings.HasPrefix(p.Place.Name, "edge-") {
				p.Bin = o.Old
			}
		}
		m := newMachines(o.Dir, o.Bin)
		m.old = o.Old
		return m, nil
	})
}

// settingsOf writes a process's settings as its release reads them.
func (m *machines) settingsOf(p Process) error {
	if m.old == "" || p.Bin != m.old {
		return put(m.dir, p.Name+".json", p.Place)
	}
	v, err := forOld(p)
	if err != nil {
		return err
	}
	return put(m.dir, p.Name+".json", v)
}

// binOf is the folder that a word of an upgrade means.
func (o Options) binOf(word string) (string, error) {
	switch word {
	case "new":
		return filepath.Clean(o.Bin), nil
	case "old":
		return o.Old, nil
	}
	return "", errs.New(errs.BadInput, "swap to %q: give old or new", word)
}
