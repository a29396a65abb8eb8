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
	softMemoryRatio   = 0.7 // memory use above which the garbage collector runs more often, as a ratio of Site.MemoryLimitMB
	stopRatio         = 0.9 // longest duration of a shutdown, as a ratio of Site.GraceMs, after which the process is killed
	settingsPollRatio = 0.5 // interval of checks for a changed settings file, as a ratio of Bounds.ConfigMs

	maxPendingSignals = 8
)

// Main reads the settings of a program from its command line, starts it and stops it at SIGTERM or SIGINT. With invalid
// settings the program exits with the code of errs.BadInput, after a failed start with the code of the error's kind.
//
// Example: daemon.Main("runner", "the agent on a machine", settings.Required{Seeds: true}, nodeagent.Start)
func Main(program, about string, required settings.Required, start func(*Process) error) {
	processSettings, err := settings.Read(program, about, os.Args[1:], required)
	exitOnInvalidSettings(program, err)
	signals := notify(syscall.SIGTERM, syscall.SIGINT)
	process := mustStart(program, processSettings, start)
	<-signals
	process.Stop(processSettings.Bounds.Leave(1))
}

// Run runs a program with settings from a file until SIGTERM or SIGINT. It reloads the file at SIGHUP and whenever a
// periodic check finds it changed. If the reloaded settings are invalid, the error is logged and the current settings
// stay in use.
//
// Example: daemon.Run("edge", file, func() (settings.Process, error) { return read(file) }, start)
func Run(program, file string, read func() (settings.Process, error), start func(*Process) error) {
	current, err := read()
	exitOnInvalidSettings(program, err)
	debug.SetMemoryLimit(int64(softMemoryRatio * float64(current.Site.MemoryLimitMB) * (1 << 20)))
	signals := notify(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	process := mustStart(program, current, start)
	ticker := clock.NewTicker(current.Bounds.Config(settingsPollRatio))
	defer ticker.Stop()
	lastRead := versionOf(file)
	reload := func() {
		changed, err := read()
		if err != nil {
			process.Log.Error("reload of settings failed: the current settings stay in use", "error", errs.Text(err))
			return
		}
		if !reflect.DeepEqual(changed, current) {
			process.Log.Info("settings reloaded")
			current = changed
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
			process.Stop(settings.Fraction(current.Site.GraceMs, stopRatio))
			return
		case <-ticker.C:
			if version := versionOf(file); version != lastRead {
				lastRead = version
				reload()
			}
		}
	}
}

func exitOnInvalidSettings(program string, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, program+": "+errs.Text(err))
		os.Exit(errs.BadInput.ExitCode)
	}
}

// notify returns a channel that receives the given signals that the process gets after the call.
func notify(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, maxPendingSignals)
	signal.Notify(received, signals...)
	return received
}

// mustStart starts a program. If that fails, it logs the error and exits the process.
func mustStart(program string, processSettings settings.Process, start func(*Process) error) *Process {
	process := New(program, processSettings)
	if err := start(process); err != nil {
		process.Log.Error("program failed to start", "error", errs.Text(err))
		os.Exit(errs.KindOf(err).ExitCode)
	}
	return process
}

// fileVersion distinguishes versions of a file by size and modification time. It is zero if the file can't be accessed.
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
