package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/demo"
)

// Output formats of commands.
const (
	outputText = "text"
	outputJSON = "json"
)

func newDemoCommand() *cobra.Command {
	var (
		output   string
		level    string
		duration time.Duration
		rate     int
	)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet in one process and check that no request is lost",
		Long: `Start a stand-in platform, stand-in endpoints in three data centres and three entry instances on loopback.
Requests of several classes run while a maintenance wave reboots every endpoint and an entry instance is replaced.
Afterwards the results of the callers are compared with the runs that the endpoints recorded.

The exit code is 1 if a request was lost, doubled or cut.`,
		Example: "  chivetiller demo\n  chivetiller demo --output json",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != outputText && output != outputJSON {
				return newUsageError(eris.Errorf("output %q is neither text nor json", output))
			}
			if duration <= 0 || rate < 1 {
				return newUsageError(eris.New("duration and rate have to be greater than 0"))
			}
			logger, err := logging.New(cmd.ErrOrStderr(), level, "text")
			if err != nil {
				return newUsageError(err)
			}
			options := demo.Options{Duration: duration, Rate: rate, Logger: logger}
			if output == outputText {
				options.Progress = func(line string) { fmt.Fprintln(cmd.OutOrStdout(), line) }
			}
			report, err := demo.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if err := writeDemoReport(cmd.OutOrStdout(), report, output); err != nil {
				return err
			}
			if !report.OK() {
				return eris.New("requests were lost, doubled or cut")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&output, "output", outputText, "output format: text or json")
	cmd.Flags().StringVar(&level, "log-level", "error", "minimum level of log lines: debug, info, warn or error")
	cmd.Flags().DurationVar(&duration, "duration", demo.DefaultDuration, "maximum duration of the load; the wave has to end within it")
	cmd.Flags().IntVar(&rate, "rate", demo.DefaultRate, "requests per second")
	return cmd
}

func writeDemoReport(w io.Writer, report demo.Report, output string) error {
	if output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, fault := range report.Faults {
		if _, err := fmt.Fprintln(w, fault); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, report)
	return err
}
