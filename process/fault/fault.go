// Package fault holds the typed errors that every layer of lilacbridge uses,
// towards callers, operators and between its own processes.
//
// Each error has a kind, says whether the request may have run, and when to
// come back. Its message names what is wrong and the remedy.
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

// Kind is the typed kind of an error; see docs/INTERFACES.md for the table.
type Kind = lilacv1.ErrorKind

// NotRun says whether a refused request may have run.
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

// New makes an error of the kind; the message names the remedy.
func New(kind Kind, message string, options ...Option) error {
	err := merry.New(message, merry.WithValue(kindKey, kind), merry.NoCaptureStack())
	for _, option := range options {
		err = option(err)
	}
	return err
}

// Newf is New with a formatted message and no options.
func Newf(kind Kind, format string, args ...any) error {
	return New(kind, fmt.Sprintf(format, args...))
}

// Wrap gives err a kind and puts the message, which names the remedy, before its own.
func Wrap(err error, kind Kind, message string, options ...Option) error {
	wrapped := merry.Prepend(err, message, merry.WithValue(kindKey, kind), merry.NoCaptureStack())
	for _, option := range options {
		wrapped = option(wrapped)
	}
	return wrapped
}

// WithNotRun states whether the request may have run.
func WithNotRun(notRun NotRun) Option {
	return func(err error) error { return merry.Wrap(err, merry.WithValue(notRunKey, notRun)) }
}

// WithRetryAfter states when the caller should come back.
func WithRetryAfter(after time.Duration) Option {
	return func(err error) error { return merry.Wrap(err, merry.WithValue(retryAfterKey, after)) }
}

// WithLeader names the address that can answer instead.
func WithLeader(address string) Option {
	return func(err error) error { return merry.Wrap(err, merry.WithValue(leaderKey, address)) }
}

// KindOf returns the kind of err. Errors that carry none are timeouts where the
// context ended, else internal; nil is unspecified.
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

// NotRunOf returns what err says of the request; unknown if it says nothing.
func NotRunOf(err error) NotRun {
	if notRun, ok := merry.Value(err, notRunKey).(NotRun); ok {
		return notRun
	}
	return lilacv1.NotRun_NOT_RUN_UNKNOWN
}

// RetryAfterOf returns when to come back; 0 if err does not say.
func RetryAfterOf(err error) time.Duration {
	after, _ := merry.Value(err, retryAfterKey).(time.Duration)
	return after
}

// LeaderOf returns the address that can answer instead, or "".
func LeaderOf(err error) string {
	leader, _ := merry.Value(err, leaderKey).(string)
	return leader
}

// Is tells whether err has the kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// Name returns the kind as it stands in JSON and in labels, such as "no_quorum".
func Name(kind Kind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "ERROR_KIND_"))
}

// ToStatus turns err into the closing frame of a stream; nil gives an empty status.
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

// FromStatus is the inverse of ToStatus.
func FromStatus(status *lilacv1.LinkStatus) error {
	if status.GetKind() == lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED {
		return nil
	}
	return New(status.GetKind(), status.GetMessage(),
		WithNotRun(status.GetNotRun()),
		WithRetryAfter(time.Duration(status.GetRetryAfterMs())*time.Millisecond),
		WithLeader(status.GetLeader()))
}
