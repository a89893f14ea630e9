// Package fault provides the typed errors that lilacbridge returns to callers and
// operators and exchanges between its own processes.
//
// Each error has a kind and may state whether the request has run, when to retry and
// which address to use instead. Its message names the problem and the remedy.
package fault

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Kind is the kind of an error; docs/INTERFACES.md lists all kinds.
type Kind = lilacv1.ErrorKind

// NotRun states whether a refused request has not run, has run at least in part, or may
// have run.
type NotRun = lilacv1.NotRun

type valueKey int

const (
	kindKey valueKey = iota
	notRunKey
	retryAfterKey
	leaderKey
)

// Option adds a detail to an error.
type Option func(error) error

// New returns an error of the kind. The message should name the remedy.
func New(kind Kind, message string, options ...Option) error {
	err := merry.New(message, merry.WithValue(kindKey, kind), merry.NoCaptureStack())
	for _, option := range options {
		err = option(err)
	}
	return err
}

// Newf is like New with a formatted message and no options.
func Newf(kind Kind, format string, args ...any) error {
	return New(kind, fmt.Sprintf(format, args...))
}

// Wrap returns err with a kind and with message prepended. The message should name the
// remedy.
func Wrap(err error, kind Kind, message string, options ...Option) error {
	wrapped := merry.Prepend(err, message, merry.WithValue(kindKey, kind), merry.NoCaptureStack())
	for _, option := range options {
		wrapped = option(wrapped)
	}
	return wrapped
}

// WithNotRun sets whether the request has run.
func WithNotRun(notRun NotRun) Option {
	return func(err error) error { return merry.Wrap(err, merry.WithValue(notRunKey, notRun)) }
}

// WithRetryAfter sets the time after which the caller should retry.
func WithRetryAfter(after time.Duration) Option {
	return func(err error) error { return merry.Wrap(err, merry.WithValue(retryAfterKey, after)) }
}

// WithLeader sets the address to which the request should be sent instead.
func WithLeader(address string) Option {
	return func(err error) error { return merry.Wrap(err, merry.WithValue(leaderKey, address)) }
}

// KindOf returns the kind of err. Without a kind, an exceeded context deadline is a
// timeout and any other error is internal. The kind of nil is unspecified.
func KindOf(err error) Kind {
	if err == nil {
		return lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED
	}
	if kind, ok := merry.Value(err, kindKey).(Kind); ok {
		return kind
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return lilacv1.ErrorKind_ERROR_KIND_TIMEOUT
	}
	return lilacv1.ErrorKind_ERROR_KIND_INTERNAL
}

// NotRunOf returns the value set by WithNotRun, or unknown.
func NotRunOf(err error) NotRun {
	if notRun, ok := merry.Value(err, notRunKey).(NotRun); ok {
		return notRun
	}
	return lilacv1.NotRun_NOT_RUN_UNKNOWN
}

// RetryAfterOf returns the value set by WithRetryAfter, or 0.
func RetryAfterOf(err error) time.Duration {
	after, _ := merry.Value(err, retryAfterKey).(time.Duration)
	return after
}

// LeaderOf returns the address set by WithLeader, or "".
func LeaderOf(err error) string {
	leader, _ := merry.Value(err, leaderKey).(string)
	return leader
}

// Is reports whether err is not nil and has the kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// Name returns the name of the kind in JSON and in metric labels, such as "no_quorum".
func Name(kind Kind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "ERROR_KIND_"))
}

// ToStatus converts err to the final frame of a stream. It returns an empty status for
// nil.
func ToStatus(err error) *lilacv1.LinkStatus {
	if err == nil {
		return &lilacv1.LinkStatus{}
	}
	return &lilacv1.LinkStatus{
		Kind:         KindOf(err),
		Message:      err.Error(),
		NotRun:       NotRunOf(err),
		RetryAfterMs: uint32(RetryAfterOf(err) / time.Millisecond),
		Leader:       LeaderOf(err),
	}
}

// FromStatus converts a status from ToStatus back to an error, or to nil if it is empty.
func FromStatus(status *lilacv1.LinkStatus) error {
	if status.GetKind() == lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED {
		return nil
	}
	return New(status.GetKind(), status.GetMessage(),
		WithNotRun(status.GetNotRun()),
		WithRetryAfter(time.Duration(status.GetRetryAfterMs())*time.Millisecond),
		WithLeader(status.GetLeader()))
}
