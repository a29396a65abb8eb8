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
	softMemory = 0.7 // of the memory limit: garbage collection is forced above it
	stopPart   = 0.9 // of the grace time: a stop has to end within it
	lookPart   = 0.5 // of the configuration bound: how often the settings file is checked
)

// Run runs a program whose settings are in a file, until SIGTERM. The file is read again on SIGHUP and
// when it has changed without a signal; faulty settings are logged and leave those in force.
//
// Example: daemon.Run("edge", file, func() (settings.Place, error) { return read(file) }, start)
func Run(prog, file string, read func() (settings.Place, error), start func(*Process) error) {
	p, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, prog+": "+errs.Text(err))
		os.Exit(errs.BadInput.Exit)
	}
	debug.SetMemoryLimit(int64(softMemory * float64(p.Site.MemoryMB) * (1 << 20)))
	l := New(prog, p)
	sig := make(chan os.Signal, 8)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := start(l); err != nil {
		l.Log.Error("start failed", "error", errs.Text(err))
		os.Exit(errs.KindOf(err).Exit)
	}
	t := clock.NewTicker(p.Bounds.Config(lookPart))
	defer t.Stop()
	was := stamp(file)
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
			l.Stop(settings.Of(p.Site.GraceMs, stopPart))
			return
		case <-t.C:
			if now := stamp(file); now != was {
				was = now
				again()
			}
		}
	}
}

type fileStamp struct {
	size int64
	at   time.Time
}

func stamp(file string) fileStamp {
	i, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{i.Size(), i.ModTime()}
}
