// Package hangup receives SIGHUP from the first moment of a process on. A process that handles it only once it has read its settings is ended by a
// SIGHUP that comes some milliseconds after its start.
//
// # Usage
//
//	for range hangup.Signals() {
//		reload()
//	}
//
// Commands that do not reload anything call [Restore], so that a closed terminal ends them.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals is initialised before the packages of most dependencies, which Go initialises in the order of their import paths.
var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel on which SIGHUP arrives. One that has come before the first receive is kept.
func Signals() <-chan os.Signal { return signals }

// Restore gives SIGHUP its usual effect, to end the process.
func Restore() { signal.Reset(syscall.SIGHUP) }
