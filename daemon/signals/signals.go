// Package signals receives a daemon's signals from the initialization of the program on, so
// that none of them ends the process by its default effect while the daemon starts or stops.
//
// A package is initialized once all that it imports is, so this one imports little. Only
// daemons may import it: a program that does is no longer ended by these signals.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	// HangUps receives SIGHUP. One that came before its reader is kept.
	HangUps <-chan os.Signal = notify(syscall.SIGHUP)
	// Stops receives SIGTERM and SIGINT. One that came before its reader is kept.
	Stops <-chan os.Signal = notify(syscall.SIGTERM, syscall.SIGINT)
)

func notify(signals ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}
