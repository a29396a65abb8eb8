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
	Name       string // stable word, used in JSON and tests
	Remedy     string // what to do about it
	HTTPStatus int    // status towards clients and operators
	ExitCode   int    // exit code of the command line
}

// The kinds in use. Exit codes are stable.
var (
	BadInput         = &Kind{"bad-input", "correct the named fields and send it again", 400, 2}
	BadKey           = &Kind{"bad-key", "use a key that the configuration in force lists for the tenant", 401, 3}
	BadOperatorKey   = &Kind{"bad-operator-key", "give the operators' key of this site: --operator-key FILE or PEBBLELOOM_KEY", 401, 3}
	NoSuchModel      = &Kind{"no-such-model", "name a model that the configuration in force routes", 404, 4}
	NotFound         = &Kind{"not-found", "check the name with the matching list command", 404, 4}
	Conflict         = &Kind{"epoch-conflict", "read the configuration back, redo the change on the version in force, apply again", 409, 5}
	TooLarge         = &Kind{"too-big", "send less: the bound is in the message", 413, 2}
	RateLimited      = &Kind{"over-budget", "wait as long as Retry-After says, or raise the tenant's budget", 429, 6}
	Overloaded       = &Kind{"overloaded", "wait as long as Retry-After says, then ask again", 503, 6}
	DeadlineExceeded = &Kind{"expired", "ask again with a longer wait, or when load is lower", 504, 6}
	NotExecuted      = &Kind{"not-run", "nothing ran: ask again after Retry-After", 503, 6}
	MayHaveExecuted  = &Kind{"may-have-run", "find out whether it took effect before asking again", 502, 7}
	OutcomeUnknown   = &Kind{"cant-say", "no majority of the shard answers: check the core machines with `pebblectl nodes`", 503, 8}
	CheckFailed      = &Kind{"not-as-due", "do what the step says, then go on with --resume", 409, 1}
	NotSupported     = &Kind{"not-here", "this kind of site has no such thing: use what the message names instead", 501, 10}
	DiskFailure      = &Kind{"disk-bad", "free or replace the disk, clear the data folder, restart the member", 500, 9}
	Internal         = &Kind{"inside", "look at this process's log for the step named here", 500, 9}
)

// Kinds lists every kind, for documentation and for decoding a name.
//
// Example: for _, k := range errs.Kinds() { fmt.Println(k.Name, k.Exit) }
func Kinds() []*Kind {
	return []*Kind{BadInput, BadKey, BadOperatorKey, NoSuchModel, NotFound, Conflict, TooLarge, RateLimited, Overloaded,
		DeadlineExceeded, NotExecuted, MayHaveExecuted, OutcomeUnknown, CheckFailed, NotSupported, DiskFailure, Internal}
}

// KindNamed returns the kind with that name, or Inside.
//
// Example: errs.Named("not-run") == errs.NotExecuted
func KindNamed(s string) *Kind {
	for _, k := range Kinds() {
		if k.Name == s {
			return k
		}
	}
	return Internal
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

// WrapAs wraps an error under a kind.
//
// Example: return errs.As(err, errs.DiskFailure, "sync log")
func WrapAs(err error, k *Kind, step string) error {
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
	return Internal
}

// Text is an error's message with its remedy.
//
// Example: fmt.Fprintln(os.Stderr, errs.Text(err))
func Text(err error) string {
	return err.Error() + " (remedy: " + KindOf(err).Remedy + ")"
}

// Batch collects the errors of one step; the step checks it once, at its end.
type Batch struct{ errors []error }

// Add records an error, if it is one, under the name of the step.
//
// Example: b.Note("listen", err)
func (b *Batch) Add(step string, err error) {
	if err != nil {
		b.errors = append(b.errors, Wrap(err, step))
	}
}

// Addf records a new error of a kind.
//
// Example: b.Fault(errs.BadInput, "%s: unknown zone", path)
func (b *Batch) Addf(k *Kind, format string, a ...any) {
	b.errors = append(b.errors, New(k, format, a...))
}

// Err returns nil if nothing was recorded, else one error that lists all under the first one's kind.
//
// Example: if err := b.Look(); err != nil { return err }
func (b *Batch) Err() error {
	if len(b.errors) == 0 {
		return nil
	}
	if len(b.errors) == 1 {
		return b.errors[0]
	}
	return WrapAs(errors.New(strings.Join(b.Lines(), "; ")), KindOf(b.errors[0]), fmt.Sprintf("%d faults", len(b.errors)))
}

// Lines returns one line per error.
//
// Example: for _, l := range b.Lines() { fmt.Println(l) }
func (b *Batch) Lines() []string {
	l := make([]string, 0, len(b.errors))
	for _, e := range b.errors {
		l = append(l, e.Error())
	}
	return l
}
