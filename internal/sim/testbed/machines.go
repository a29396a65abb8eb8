package testbed

import (
	"context"
	"net"
	"strings"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// settingsOf returns the settings of the named process, or the zero value if the site has no such process.
func (f *Fleet) settingsOf(name string) settings.Process {
	process, _ := f.process(name)
	return process.Settings
}

// startDuplicate starts a second process under the machine name of an existing one, with an empty disk and another
// address. The existing process is left as it is, running or frozen.
func (f *Fleet) startDuplicate(name string) error {
	for _, process := range f.Site.Processes {
		if process.Name != name {
			continue
		}
		process.Name += "-again"
		octets := strings.Split(process.Settings.Listen, ".")
		octets[3] = "98:" + strings.Split(octets[3], ":")[1]
		process.Settings.Listen = strings.Join(octets, ".")
		if process.Settings.Operator != "" {
			process.Settings.Operator = strings.Join(octets[:3], ".") + ".98:8090"
		}
		if process.Settings.Data != "" {
			process.Settings.Data += "-again"
		}
		if err := f.env.WriteSettings(process); err != nil {
			return err
		}
		f.Site.Processes = append(f.Site.Processes, process)
		return f.Start(process.Name)
	}
	return errs.New(errs.NotFound, "start a duplicate of a process: the site has no process %q", name)
}

// addressByte returns the second byte of the site's loopback addresses, in decimal.
func (f *Fleet) addressByte() string { return strings.Split(f.platformAddr(), ".")[1] }

func (f *Fleet) platformAddr() string { return f.settingsOf(platformName).Public }

// configLeader returns the name of the core machine whose control node leads shard 0, which holds the configuration.
func (f *Fleet) configLeader(ctx context.Context) (string, error) {
	for _, process := range f.Site.Processes {
		if process.Program != programs.ControlNode {
			continue
		}
		statusCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, err := wire.NewControlNodeClient("http://"+process.Settings.Listen, f.client).Status(statusCtx, &wire.StatusRequest{})
		cancel()
		for _, shard := range status.GetShards() {
			if err == nil && shard.Shard == 0 && shard.IsLeader {
				return process.Settings.Name, nil
			}
		}
	}
	return "", errs.New(errs.OutcomeUnknown, "no control node reports that it leads shard 0, which holds the configuration")
}

// moveAddress changes the address of a core machine's process to host 99 of its zone; the process uses it after its next
// start.
func (f *Fleet) moveAddress(name string) error {
	for i := range f.Site.Processes {
		process := &f.Site.Processes[i]
		if process.Name != name {
			continue
		}
		host, port, err := net.SplitHostPort(process.Settings.Listen)
		if err != nil {
			return errs.Wrap(err, "move")
		}
		octets := strings.Split(host, ".")
		host = strings.Join(append(octets[:3], "99"), ".")
		old := process.Settings.Operator
		process.Settings.Listen = host + ":" + port
		if old != "" {
			process.Settings.Operator = host + ":8090"
			for j, operator := range f.Site.Operators {
				if operator == old {
					f.Site.Operators[j] = process.Settings.Operator
				}
			}
		}
		return f.env.WriteSettings(*process)
	}
	return errs.New(errs.NotFound, "change the address of a process: the site has no process %q", name)
}
