// Package commands holds the command line of chivetiller, one file per command.
//
// # Usage
//
//	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/internal/process/hangup"
)

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError marks an error caused by the arguments, a settings file or a document.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// newUsageError marks err as caused by the user's input, which ends the program with code 2.
func newUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{err: err}
}

// Execute runs the command line and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "Error: %s\n", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "chivetiller",
		Short:         "Manage fleet capacity and maintenance",
		Long:          "Chivetiller routes work from callers to pools of endpoints, meets a target for each class of work, and keeps instances serving through maintenance.",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			if cmd.Name() != serveCommand {
				hangup.Restore()
			}
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return newUsageError(err) })
	root.AddCommand(
		newApplyCommand(),
		newCertificatesCommand(),
		newClassCommand(),
		newConfigCommand(),
		newDemoCommand(),
		newEndpointCommand(),
		newEntryCommand(),
		newEvacuationCommand(),
		newExplainCommand(),
		newInstanceCommand(),
		newJobCommand(),
		newKeyCommand(),
		newPlatformCommand(),
		newPoolCommand(),
		newReferenceCommand(),
		newReportCommand(),
		newServeCommand(),
		newSettingsCommand(),
		newStatusCommand(),
		newTeamCommand(),
		newTopCommand(),
		newVersionCommand(),
		newWaveCommand(),
	)
	return root
}
