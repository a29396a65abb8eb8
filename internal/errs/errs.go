// Package errs wraps, types and collects errors. Every error that can reach a person carries a Kind
// whose message names the remedy.
package errs

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Kind is a type of error that people act on.
type Kind struct {
	Name   string // stable word, used in JSON and tests
	Remedy string // what to do about it
	HTTP   int    // status towards clients and operators
	Exit   int    // exit code of the command line
}

// The kinds in use. Exit codes are stable.
var (
	BadInput   = &Kind{"bad-input", "correct the named fields and send it again", 400, 2}
	BadKey     = &Kind{"bad-key", "use a key that the configuration in force lists for the tenant", 401, 3}
	NotOurs    = &Kind{"bad-operator-key", "give the operators' key of this site: --operator-key FILE or PEBBLELOOM_KEY", 401, 3}
	NoModel    = &Kind{"no-such-model", "name a model that the configuration in force routes", 404, 4}
	NotFound   = &Kind{"not-found", "check the name with the matching list command", 404, 4}
	Conflict   = &Kind{"epoch-conflict", "read the configuration back, redo the change on the version in force, apply again", 409, 5}
	TooBig     = &Kind{"too-big", "send less: the bound is in the message", 413, 2}
	OverBudget = &Kind{"over-budget", "wait as long as Retry-After says, or raise the tenant's budget", 429, 6}
	Overloaded = &Kind{"overloaded", "wait as long as Retry-After says, then ask again", 503, 6}
	Expired    = &Kind{"expired", "ask again with a longer wait, or when load is lower", 504, 6}
	NotRun     = &Kind{"not-run", "nothing ran: ask again after Retry-After", 503, 6}
	MayHaveRun = &Kind{"may-have-run", "find out whether it took effect before asking again", 502, 7}
	CantSay    = &Kind{"cant-say", "no majority of the shard answers: check the core machines with `pebblectl nodes`", 503, 8}
	NotAsDue   = &Kind{"not-as-due", "do what the step says, then go on with --resume", 409, 1}
	NotHere    = &Kind{"not-here", "this kind of site has no such thing: use what the message names instead", 501, 10}
	DiskBad    = &Kind{"disk-bad", "free or replace the disk, clear the data folder, restart the member", 500, 9}
	Inside     = &Kind{"inside", "look at this process's log for the step named here", 500, 9}
)

// Kinds lists every kind, for documentation and for decoding a name.
//
// Example: for _, k := range errs.Kinds() { fmt.Println(k.Name, k.Exit) }
func Kinds() []*Kind {
	return []*Kind{BadInput, BadKey, NotOurs, NoModel, NotFound, Conflict, TooBig, OverBudget, Overloaded,
		Expired, NotRun, MayHaveRun, CantSay, NotAsDue, NotHere, DiskBad, Inside}
}

// Named returns the kind with that name, or Inside.
//
// Example: errs.Named("not-run") == errs.NotRun
func Named(s string) *Kind {
	for _, k := range Kinds() {
		if k.Name == s {
			return k
		}
	}
	return Inside
}

type kindKey struct{}

// New makes an error of a kind.
//
// Example: errs.New(errs.BadInput, "parts: %d given, at most %d taken", n, max)
func New(k *Kind, format string, a ...any) error {
	return merry.New(fmt.Sprintf(format, a...), merry.NoCaptureStack(), merry.WithValue(kindKey{}, k))
}

// Wrap prepends the step that an error came from; nil stays nil, the kind is kept.
//
// Example: return errs.Wrap(err, "read snapshot")
func Wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, step, merry.NoCaptureStack())
}

// As wraps an error under a kind.
//
// Example: return errs.As(err, errs.DiskBad, "sync log")
func As(err error, k *Kind, step string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, step, merry.NoCaptureStack(), merry.WithValue(kindKey{}, k))
}

// KindOf returns an error's kind; Inside if none was set.
//
// Example: os.Exit(errs.KindOf(err).Exit)
func KindOf(err error) *Kind {
	if k, ok := merry.Value(err, kindKey{}).(*Kind); ok {
		return k
	}
	return Inside
}

// Text is an error's message with its remedy.
//
// Example: fmt.Fprintln(os.Stderr, errs.Text(err))
func Text(err error) string {
	return err.Error() + " (remedy: " + KindOf(err).Remedy + ")"
}

// Batch collects the errors of one step; the step checks it once, at its end.
type Batch struct{ all []error }

// Note records an error, if it is one, under the name of the step.
//
// Example: b.Note("listen", err)
func (b *Batch) Note(step string, err error) {
	if err != nil {
		b.all = append(b.all, Wrap(err, step))
	}
}

// Fault records a new error of a kind.
//
// Example: b.Fault(errs.BadInput, "%s: unknown zone", path)
func (b *Batch) Fault(k *Kind, format string, a ...any) { b.all = append(b.all, New(k, format, a...)) }

// Look returns nil if nothing was recorded, else one error that lists all under the first one's kind.
//
// Example: if err := b.Look(); err != nil { return err }
func (b *Batch) Look() error {
	if len(b.all) == 0 {
		return nil
	}
	if len(b.all) == 1 {
		return b.all[0]
	}
	return As(errors.New(strings.Join(b.Lines(), "; ")), KindOf(b.all[0]), fmt.Sprintf("%d faults", len(b.all)))
}

// Lines returns one line per error.
//
// Example: for _, l := range b.Lines() { fmt.Println(l) }
func (b *Batch) Lines() []string {
	l := make([]string, 0, len(b.all))
	for _, e := range b.all {
		l = append(l, e.Error())
	}
	return l
}
