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

// settingsAddedLater are settings that the first release rejects as unknown, by section.
var settingsAddedLater = map[string][]string{"": {"operator_key"}, "bounds": {"try_allow", "once_ms"}}

// settingsForEarlierRelease returns a process's settings as the first release reads them.
func settingsForEarlierRelease(p Process) (map[string]any, error) {
	raw, err := json.Marshal(p.Settings)
	if err != nil {
		return nil, errs.Wrap(err, "write settings")
	}
	m := map[string]any{}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, errs.Wrap(err, "write settings")
	}
	for in, ks := range settingsAddedLater {
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

// switchRelease stops a process gracefully and starts it with another folder of programs.
func (f *Fleet) switchRelease(name, bin string) error {
	for i := range f.Site.Processes {
		p := &f.Site.Processes[i]
		if p.Name != name {
			continue
		}
		if err := f.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		<-time.After(p.Settings.Bounds.Leave(0.3)) // graceful shutdown: it hands over its leases and ends its streams
		_ = f.Signal(name, syscall.SIGKILL)        // it may have ended by itself
		p.Bin = bin
		if err := f.env.WriteSettings(*p); err != nil {
			return err
		}
		return f.Start(name)
	}
	return errs.New(errs.NotFound, "process %q", name)
}

// Upgrade runs a site of an earlier release, upgrades it to the present one machine by machine under traffic, and
// downgrades it again. Core machines are upgraded first and downgraded last.
//
// Example: report, err := testbed.Upgrade(ctx, testbed.Options{Site: "paramo", Programs: "bin", EarlierRelease: "/tmp/old-bin", Dir: dir, AddressByte: 10})
func Upgrade(ctx context.Context, options Options) (*Report, error) {
	scenario := Scenario{Name: "upgrade", About: "an earlier release is upgraded machine by machine, and back", Site: options.Site, Rate: 25, ReadAll: true, MinSealedShare: 0.97}
	var ms []string
	for i := range 4 {
		ms = append(ms, expandNames(coreProcesses, []string{fmt.Sprintf("core-%d", i+1)}))
	}
	for i := range 9 {
		ms = append(ms, expandNames(edgeProcesses, []string{fmt.Sprintf("edge-%d", i+1)}))
	}
	at := 1000
	for i := range 2 * len(ms) {
		to, m := "new", ms[min(i, len(ms)-1)]
		if i >= len(ms) {
			to, m = "old", ms[2*len(ms)-1-i]
		}
		scenario.Steps = append(scenario.Steps, Step{At: at, Action: "swap", Targets: m, Argument: to})
		if at += 3000; i%5 == 2 {
			scenario.Steps = append(scenario.Steps, Step{At: at - 500, Action: "storm", Argument: "3"})
		}
	}
	return PlayOn(ctx, scenario, options, func(s *Site) (Environment, error) {
		for i := range s.Processes {
			p := &s.Processes[i]
			if strings.HasPrefix(p.Settings.Name, "core-") || strings.HasPrefix(p.Settings.Name, "edge-") {
				p.Bin = options.EarlierRelease
			}
		}
		m := newLocalEnvironment(options.Dir, options.Programs)
		m.earlierRelease = options.EarlierRelease
		return m, nil
	})
}

// writeSettings writes a process's settings as its release reads them.
func (env *localEnvironment) writeSettings(p Process) error {
	if env.earlierRelease == "" || p.Bin != env.earlierRelease {
		return writeJSON(env.dir, p.Name+".json", p.Settings)
	}
	v, err := settingsForEarlierRelease(p)
	if err != nil {
		return err
	}
	return writeJSON(env.dir, p.Name+".json", v)
}

// programsOf returns the folder of the release that a step names, "old" or "new".
func (options Options) programsOf(word string) (string, error) {
	switch word {
	case "new":
		return filepath.Clean(options.Programs), nil
	case "old":
		return options.EarlierRelease, nil
	}
	return "", errs.New(errs.BadInput, "swap to %q: give old or new", word)
}
