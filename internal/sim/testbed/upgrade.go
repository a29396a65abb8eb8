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

// settingsAddedLater lists, by section of the settings file, the settings that the first release rejects as unknown. The
// section "" is the top level.
var settingsAddedLater = map[string][]string{"": {"operator_key"}, "bounds": {"try_allow", "once_ms"}}

// settingsForEarlierRelease returns the settings of a process without those that the first release doesn't know.
func settingsForEarlierRelease(process Process) (map[string]any, error) {
	raw, err := json.Marshal(process.Settings)
	if err != nil {
		return nil, errs.Wrap(err, "encode the settings of process "+process.Name+" as JSON")
	}
	document := map[string]any{}
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, errs.Wrap(err, "decode the settings of process "+process.Name)
	}
	for section, keys := range settingsAddedLater {
		for _, key := range keys {
			if section == "" {
				delete(document, key)
			} else if object, ok := document[section].(map[string]any); ok {
				delete(object, key)
			}
		}
	}
	return document, nil
}

// switchRelease shuts a process down gracefully and restarts it with the executable in the folder bin.
func (f *Fleet) switchRelease(name, bin string) error {
	for i := range f.Site.Processes {
		process := &f.Site.Processes[i]
		if process.Name != name {
			continue
		}
		if err := f.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		<-time.After(process.Settings.Bounds.Leave(0.3)) // time for the process to hand over its leases and end its streams
		_ = f.Signal(name, syscall.SIGKILL)              // the error is ignored, as the process has usually exited by now
		process.Bin = bin
		if err := f.env.WriteSettings(*process); err != nil {
			return err
		}
		return f.Start(name)
	}
	return errs.New(errs.NotFound, "switch the release: the site has no process %q", name)
}

// Upgrade runs a site of an earlier release under client traffic, upgrades it machine by machine to the present release,
// and downgrades it again. Core machines are upgraded first and downgraded last.
//
// Example: report, err := testbed.Upgrade(ctx, testbed.Options{Site: "paramo", Programs: "bin", EarlierRelease: "/tmp/old-bin", Dir: dir, AddressByte: 10})
func Upgrade(ctx context.Context, options Options) (*Report, error) {
	scenario := Scenario{Name: "upgrade", About: "a site of an earlier release is upgraded machine by machine and downgraded again", Site: options.Site, Rate: 25, ReadAll: true, MinSealedShare: 0.97}
	var targets []string
	for i := range coreMachines {
		targets = append(targets, expandNames(coreProcesses, []string{fmt.Sprint(corePrefix, i+1)}))
	}
	for i := range edgeMachines {
		targets = append(targets, expandNames(edgeProcesses, []string{fmt.Sprint(edgePrefix, i+1)}))
	}
	at := 1000
	for i := range 2 * len(targets) {
		release, target := "new", targets[min(i, len(targets)-1)]
		if i >= len(targets) {
			release, target = "old", targets[2*len(targets)-1-i]
		}
		scenario.Steps = append(scenario.Steps, Step{At: at, Action: "swap", Targets: target, Argument: release})
		if at += 3000; i%5 == 2 {
			scenario.Steps = append(scenario.Steps, Step{At: at - 500, Action: "storm", Argument: "3"})
		}
	}
	return PlayOn(ctx, scenario, options, func(site *Site) (Environment, error) {
		for i := range site.Processes {
			process := &site.Processes[i]
			if strings.HasPrefix(process.Settings.Name, corePrefix) || strings.HasPrefix(process.Settings.Name, edgePrefix) {
				process.Bin = options.EarlierRelease
			}
		}
		env := newLocalEnvironment(options.Dir, options.Programs)
		env.earlierRelease = options.EarlierRelease
		return env, nil
	})
}

// writeSettings writes the settings file of a process in the form that its release can read.
func (env *localEnvironment) writeSettings(process Process) error {
	if env.earlierRelease == "" || process.Bin != env.earlierRelease {
		return writeJSON(env.dir, process.Name+".json", process.Settings)
	}
	earlier, err := settingsForEarlierRelease(process)
	if err != nil {
		return err
	}
	return writeJSON(env.dir, process.Name+".json", earlier)
}

// programsOf returns the folder of the executables of a release, "old" or "new", as scenario steps name it.
func (options Options) programsOf(release string) (string, error) {
	switch release {
	case "new":
		return filepath.Clean(options.Programs), nil
	case "old":
		return options.EarlierRelease, nil
	}
	return "", errs.New(errs.BadInput, "step swap: unknown release %q: give old or new", release)
}
