package commands

import (
	"errors"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/node"
	"github.com/chivetiller/chivetiller/platform"
)

const (
	// logLines is how many log lines may wait for a slow reader. Longer bursts are dropped and counted.
	logLines = 8192
	// memoryShare is the part of the memory limit at which the runtime collects garbage harder.
	memoryShare = 0.7
	// defaultMetricsPort is outside of the ports that the deployments use for calls.
	defaultMetricsPort = 9464
	maxPort            = 65535
)

func newServeCommand() *cobra.Command {
	var file, level string
	var metricsPort int
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a process on the users' platform",
		Long: `Run a process on the users' platform. It takes the jobs of clients, keeps them in the store of the platform,
and decides where their tasks run while it holds the duty. All processes are equal and keep nothing on disk.

On SIGTERM it hands the duty over, stops being ready, waits for the load balancer and finishes the calls in flight.`,
		Example: "  chivetiller serve --settings /etc/chivetiller/node.toml",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			if file == "" {
				return newUsageError(eris.Errorf("neither --settings nor %s names a settings file", platform.SettingsVariable))
			}
			return runServe(cmd, file, level, metricsPort)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform (default: the file that "+platform.SettingsVariable+" names)")
	cmd.Flags().StringVar(&level, "log-level", "info", "least level of log lines: debug, info, warn or error")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port of the metrics, on the address of the settings")
	return cmd
}

func runServe(cmd *cobra.Command, file, level string, metricsPort int) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return newUsageError(err)
	}
	if metricsPort < 1 || metricsPort > maxPort {
		return newUsageError(eris.Errorf("metrics port %d is not between 1 and %d", metricsPort, maxPort))
	}
	s.MetricsPort = metricsPort
	out := logging.NewBuffered(cmd.OutOrStdout(), logLines)
	logger, err := logging.New(out, level, "text")
	if err != nil {
		return newUsageError(err)
	}
	logger = logger.With("node", s.Name)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	}
	client := platform.NewClient()
	d := node.Dependencies{
		Store: platform.NewStore(client, s.StoreAddress), Commander: platform.NewWorkers(client), Instances: platform.NewInstances(client, s.InstancesAddress),
		Advisor: platform.NewAdvisor(client, s.AdviceAddress), Registry: platform.Registry{}, Decoder: platform.Operator{},
		JobsHandler:  func(i *intake.Intake, m *metrics.Jobs) http.Handler { return platform.NewJobs(i, m) },
		DroppedLines: out.Dropped,
		Logger:       logger,
	}
	n, err := node.New(s, d)
	if err != nil {
		return err
	}
	stopReloads := reloadOnSignal(file, s, logger)
	defer stopReloads()
	return errors.Join(runUntilSignal(s.Name, s.Bounds.ShutdownGrace, n, logger), out.Close())
}

// reloadOnSignal reads the settings again on SIGHUP and reports what has changed. A process takes new addresses and
// bounds when it is started again, so that a file that is half written or wrong never harms one that runs.
func reloadOnSignal(file string, current node.Settings, logger hclog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			next, err := platform.LoadSettings(file)
			if err != nil {
				logger.Error("Settings cannot be reloaded; the old ones stay in force.", "file", file, "error", err)
				continue
			}
			logger.Info("Settings are read again.", "file", file, "changed", next != current)
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}
