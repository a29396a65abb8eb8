package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// Limits of a process on a small machine, as ratios.
const (
	softMemoryRatio   = 0.7 // of the memory limit: garbage collection is forced above it
	stopRatio         = 0.9 // of the grace time: a stop has to end within it
	settingsPollRatio = 0.5 // of the configuration bound: how often the settings file is checked
)

// Run runs a program whose settings are in a file, until SIGTERM. The file is read again on SIGHUP and
// when it has changed without a signal; faulty settings are logged and leave those in force.
//
// Example: daemon.Run("edge", file, func() (settings.Process, error) { return read(file) }, start)
func Run(prog, file string, read func() (settings.Process, error), start func(*Process) error) {
	p, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, prog+": "+errs.Text(err))
		os.Exit(errs.BadInput.ExitCode)
	}
	debug.SetMemoryLimit(int64(softMemoryRatio * float64(p.Site.MemoryLimitMB) * (1 << 20)))
	l := New(prog, p)
	sig := make(chan os.Signal, 8)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := start(l); err != nil {
		l.Log.Error("start failed", "error", errs.Text(err))
		os.Exit(errs.KindOf(err).ExitCode)
	}
	t := clock.NewTicker(p.Bounds.Config(settingsPollRatio))
	defer t.Stop()
	was := readFileVersion(file)
	again := func() {
		now, err := read()
		if err != nil {
			l.Log.Error("changed settings are faulty: those in force stay", "error", errs.Text(err))
			return
		}
		if !reflect.DeepEqual(now, p) {
			l.Log.Info("settings have changed")
			p = now
			l.ApplySettings(p)
		}
	}
	for {
		select {
		case s := <-sig:
			if s == syscall.SIGHUP {
				again()
				continue
			}
			l.Stop(settings.Fraction(p.Site.GraceMs, stopRatio))
			return
		case <-t.C:
			if now := readFileVersion(file); now != was {
				was = now
				again()
			}
		}
	}
}

type fileVersion struct {
	size     int64
	modified time.Time
}

func readFileVersion(file string) fileVersion {
	i, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{i.Size(), i.ModTime()}
}
