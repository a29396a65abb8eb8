// Package errs classifies errors by Kind, which determines the remedy, the HTTP status and the exit code. It also adds
// context to errors and combines several into one. An error without a kind counts as Internal.
package errs

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Kind is a class of errors that have the same remedy, HTTP status and exit code.
type Kind struct {
	Name       string // name of the kind; must not change, because clients and scripts depend on it
	Remedy     string // what the user or operator should do about the error
	HTTPStatus int    // HTTP status of the response to a client or operator
	ExitCode   int    // exit code of a program that ends with the error
}

// All kinds of errors. Their names, statuses and exit codes must not change: clients and scripts depend on them.
var (
	BadInput         = &Kind{"bad-input", "correct the named fields and send the request again", 400, 2}
	BadKey           = &Kind{"bad-key", "use an API key that the current configuration lists for the tenant", 401, 3}
	BadOperatorKey   = &Kind{"bad-operator-key", "provide this site's operator key with --operator-key FILE or in PEBBLELOOM_KEY", 401, 3}
	NoSuchModel      = &Kind{"no-such-model", "use a model that the current configuration has a route for", 404, 4}
	NotFound         = &Kind{"not-found", "check the name against those that the list command for this type of object prints", 404, 4}
	Conflict         = &Kind{"epoch-conflict", "read the current version, make the change to it again and send the result", 409, 5}
	TooLarge         = &Kind{"too-big", "reduce the size of what was sent to the limit that the message states", 413, 2}
	RateLimited      = &Kind{"over-budget", "retry after the time in Retry-After, or raise the tenant's budget", 429, 6}
	Overloaded       = &Kind{"overloaded", "retry after the time in Retry-After", 503, 6}
	DeadlineExceeded = &Kind{"expired", "retry the request with a longer deadline, or when the load is lower", 504, 6}
	NotExecuted      = &Kind{"not-run", "the request was not executed: retry after the time in Retry-After", 503, 6}
	MayHaveExecuted  = &Kind{"may-have-run", "check whether the request took effect before retrying", 502, 7}
	OutcomeUnknown   = &Kind{"cant-say", "no majority of the members of the shard responds: check the core machines with `pebblectl nodes`", 503, 8}
	CheckFailed      = &Kind{"not-as-due", "follow the instructions of the failed step, then continue with --resume", 409, 1}
	NotSupported     = &Kind{"not-here", "not available on this type of site: use the alternative in the message", 501, 10}
	DiskFailure      = &Kind{"disk-bad", "free space or replace the disk, clear the data directory, restart the member", 500, 9}
	Internal         = &Kind{"inside", "search the log of the failing process for this error", 500, 9}
)

// Kinds returns all kinds of errors.
//
// Example: for _, kind := range errs.Kinds() { fmt.Println(kind.Name, kind.ExitCode) }
func Kinds() []*Kind {
	return []*Kind{BadInput, BadKey, BadOperatorKey, NoSuchModel, NotFound, Conflict, TooLarge, RateLimited, Overloaded,
		DeadlineExceeded, NotExecuted, MayHaveExecuted, OutcomeUnknown, CheckFailed, NotSupported, DiskFailure, Internal}
}

// KindNamed returns the kind that has the given name, or Internal if there is none.
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

// kindKey is the key under which the merry package stores the kind of an error.
type kindKey struct{}

// New returns an error of the given kind, with a message formatted as by fmt.Sprintf.
//
// Example: errs.New(errs.BadInput, "parts: %d given, at most %d allowed", n, max)
func New(kind *Kind, format string, args ...any) error {
	return merry.New(fmt.Sprintf(format, args...), merry.NoCaptureStack(), merry.WithValue(kindKey{}, kind))
}

// Wrap prepends the step that failed to the message of an error and keeps its kind. It returns nil for a nil error.
//
// Example: return errs.Wrap(err, "read snapshot")
func Wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, step, merry.NoCaptureStack())
}

// WrapAs prepends the step that failed to the message of an error and sets its kind. It returns nil for a nil error.
//
// Example: return errs.WrapAs(err, errs.DiskFailure, "sync log")
func WrapAs(err error, kind *Kind, step string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, step, merry.NoCaptureStack(), merry.WithValue(kindKey{}, kind))
}

// KindOf returns the kind of an error, or Internal if it has none.
//
// Example: os.Exit(errs.KindOf(err).ExitCode)
func KindOf(err error) *Kind {
	if kind, ok := merry.Value(err, kindKey{}).(*Kind); ok {
		return kind
	}
	return Internal
}

// Text returns the message of an error, followed by the remedy for its kind.
//
// Example: fmt.Fprintln(os.Stderr, errs.Text(err))
func Text(err error) string {
	return err.Error() + " (remedy: " + KindOf(err).Remedy + ")"
}

// Batch collects errors, to be returned as one. The zero value is an empty batch.
type Batch struct{ errors []error }

// Add prepends the step that failed to the message of an error and adds the error to the batch. A nil error is ignored.
//
// Example: faults.Add("listen", err)
func (b *Batch) Add(step string, err error) {
	if err != nil {
		b.errors = append(b.errors, Wrap(err, step))
	}
}

// Addf adds a new error of the given kind, with a message formatted as by fmt.Sprintf.
//
// Example: faults.Addf(errs.BadInput, "%s: unknown zone", path)
func (b *Batch) Addf(kind *Kind, format string, args ...any) {
	b.errors = append(b.errors, New(kind, format, args...))
}

// Err returns nil for an empty batch and the error itself if there is just one. Otherwise, it returns an error that
// lists all messages and has the kind of the first error.
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

// Lines returns the messages of the errors in the batch, in the order in which they were added.
//
// Example: for _, line := range faults.Lines() { fmt.Println(line) }
func (b *Batch) Lines() []string {
	lines := make([]string, 0, len(b.errors))
	for _, err := range b.errors {
		lines = append(lines, err.Error())
	}
	return lines
}
