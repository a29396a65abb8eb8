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

const (
	softMemoryRatio   = 0.7 // of the memory limit: above it the garbage collector runs more often
	stopRatio         = 0.9 // of the grace time: a shutdown has to end within it
	settingsPollRatio = 0.5 // of the configuration bound: how often the settings file is checked

	maxPendingSignals = 8
)

// Main reads the settings of a program from its command line, starts it and waits for SIGTERM or SIGINT.
// Faulty settings end it with the exit code of errs.BadInput, a failed start with that of its error.
//
// Example: daemon.Main("runner", "the agent on a machine", settings.Required{Seeds: true}, nodeagent.Start)
func Main(program, about string, required settings.Required, start func(*Process) error) {
	processSettings, err := settings.Read(program, about, os.Args[1:], required)
	exitOnFaultySettings(program, err)
	signals := notify(syscall.SIGTERM, syscall.SIGINT)
	process := mustStart(program, processSettings, start)
	<-signals
	process.Stop(processSettings.Bounds.Leave(1))
}

// Run runs a program whose settings come from a file until SIGTERM or SIGINT. It reads the file again on
// SIGHUP and when it has changed without a signal; faulty settings are logged and those in force stay.
//
// Example: daemon.Run("edge", file, func() (settings.Process, error) { return read(file) }, start)
func Run(program, file string, read func() (settings.Process, error), start func(*Process) error) {
	inForce, err := read()
	exitOnFaultySettings(program, err)
	debug.SetMemoryLimit(int64(softMemoryRatio * float64(inForce.Site.MemoryLimitMB) * (1 << 20)))
	signals := notify(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	process := mustStart(program, inForce, start)
	ticker := clock.NewTicker(inForce.Bounds.Config(settingsPollRatio))
	defer ticker.Stop()
	lastRead := versionOf(file)
	reload := func() {
		changed, err := read()
		if err != nil {
			process.Log.Error("changed settings are faulty: those in force stay", "error", errs.Text(err))
			return
		}
		if !reflect.DeepEqual(changed, inForce) {
			process.Log.Info("settings have changed")
			inForce = changed
			process.ApplySettings(changed)
		}
	}
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				reload()
				continue
			}
			process.Stop(settings.Fraction(inForce.Site.GraceMs, stopRatio))
			return
		case <-ticker.C:
			if current := versionOf(file); current != lastRead {
				lastRead = current
				reload()
			}
		}
	}
}

func exitOnFaultySettings(program string, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, program+": "+errs.Text(err))
		os.Exit(errs.BadInput.ExitCode)
	}
}

// notify returns a channel that receives the signals from now on.
func notify(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, maxPendingSignals)
	signal.Notify(received, signals...)
	return received
}

// mustStart starts a program, or logs why it can't and ends the process.
func mustStart(program string, processSettings settings.Process, start func(*Process) error) *Process {
	process := New(program, processSettings)
	if err := start(process); err != nil {
		process.Log.Error("start failed", "error", errs.Text(err))
		os.Exit(errs.KindOf(err).ExitCode)
	}
	return process
}

// fileVersion distinguishes contents of a file. It is zero if the file can't be read.
type fileVersion struct {
	size     int64
	modified time.Time
}

func versionOf(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.Size(), info.ModTime()}
}
