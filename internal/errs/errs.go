// Package errs gives errors a Kind, which names the remedy and determines HTTP status and exit code, adds
// context to them and collects several into one. An error that has no kind is of kind Internal.
package errs

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Kind is a class of errors with one remedy.
type Kind struct {
	Name       string // stable: clients and scripts read it
	Remedy     string // what a person should do
	HTTPStatus int    // status towards clients and operators
	ExitCode   int    // exit code of the command line
}

// The kinds in use. Names and exit codes are stable; statuses are those towards clients and operators.
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

// Kinds returns every kind.
//
// Example: for _, kind := range errs.Kinds() { fmt.Println(kind.Name, kind.ExitCode) }
func Kinds() []*Kind {
	return []*Kind{BadInput, BadKey, BadOperatorKey, NoSuchModel, NotFound, Conflict, TooLarge, RateLimited, Overloaded,
		DeadlineExceeded, NotExecuted, MayHaveExecuted, OutcomeUnknown, CheckFailed, NotSupported, DiskFailure, Internal}
}

// KindNamed returns the kind with that name, or Internal.
//
// Example: errs.KindNamed("not-run") == errs.NotExecuted
func KindNamed(name string) *Kind {
	for _, kind := range Kinds() {
		if kind.Name == name {
			return kind
		}
	}
	return Internal
}

// kindKey is the key of the kind among an error's values.
type kindKey struct{}

// New returns an error of a kind.
//
// Example: errs.New(errs.BadInput, "parts: %d given, at most %d allowed", n, max)
func New(kind *Kind, format string, args ...any) error {
	return merry.New(fmt.Sprintf(format, args...), merry.NoCaptureStack(), merry.WithValue(kindKey{}, kind))
}

// Wrap prepends the step that failed to an error and keeps its kind; nil stays nil.
//
// Example: return errs.Wrap(err, "read snapshot")
func Wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, step, merry.NoCaptureStack())
}

// WrapAs prepends the step that failed to an error and gives it a kind; nil stays nil.
//
// Example: return errs.WrapAs(err, errs.DiskFailure, "sync log")
func WrapAs(err error, kind *Kind, step string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, step, merry.NoCaptureStack(), merry.WithValue(kindKey{}, kind))
}

// KindOf returns an error's kind; Internal if none was set.
//
// Example: os.Exit(errs.KindOf(err).ExitCode)
func KindOf(err error) *Kind {
	if kind, ok := merry.Value(err, kindKey{}).(*Kind); ok {
		return kind
	}
	return Internal
}

// Text returns an error's message with its remedy.
//
// Example: fmt.Fprintln(os.Stderr, errs.Text(err))
func Text(err error) string {
	return err.Error() + " (remedy: " + KindOf(err).Remedy + ")"
}

// Batch collects the errors of one step, which returns them all at once. The zero value is empty.
type Batch struct{ errors []error }

// Add adds an error, if it isn't nil, with the step that failed prepended.
//
// Example: faults.Add("listen", err)
func (b *Batch) Add(step string, err error) {
	if err != nil {
		b.errors = append(b.errors, Wrap(err, step))
	}
}

// Addf adds a new error of a kind.
//
// Example: faults.Addf(errs.BadInput, "%s: unknown zone", path)
func (b *Batch) Addf(kind *Kind, format string, args ...any) {
	b.errors = append(b.errors, New(kind, format, args...))
}

// Err returns nil if the batch is empty, its error if it has one, and else one error that lists all and
// has the kind of the first.
//
// Example: if err := faults.Err(); err != nil { return err }
func (b *Batch) Err() error {
	if len(b.errors) == 0 {
		return nil
	}
	if len(b.errors) == 1 {
		return b.errors[0]
	}
	return WrapAs(errors.New(strings.Join(b.Lines(), "; ")), KindOf(b.errors[0]), fmt.Sprintf("%d faults", len(b.errors)))
}

// Lines returns the message of each error.
//
// Example: for _, line := range faults.Lines() { fmt.Println(line) }
func (b *Batch) Lines() []string {
	lines := make([]string, 0, len(b.errors))
	for _, err := range b.errors {
		lines = append(lines, err.Error())
	}
	return lines
}
