package commands

import (
	"errors"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/internal/process/hangup"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/node"
	"github.com/chivetiller/chivetiller/platform"
)

const (
	// maxBufferedLogLines is the number of log lines that are buffered for a slow reader. Further lines are dropped and
	// counted.
	maxBufferedLogLines = 8192
	// maxBufferedLogBytes holds as many lines of the usual sizes. A line may hold text of a client that takes as much as a head.
	maxBufferedLogBytes = 4 << 20
	// memoryLimitShare is the fraction of the memory in the settings that becomes the soft memory limit of the Go
	// runtime, near which it collects garbage more often.
	memoryLimitShare = 0.7
	// defaultMetricsPort lies outside the port ranges that deployments use for calls.
	defaultMetricsPort = 9464
	maxPort            = 65535
)

// serveCommand is the name of the command whose process handles SIGHUP.
const serveCommand = "serve"

func newServeCommand() *cobra.Command {
	var file, ownFile, level string
	var metricsPort int
	cmd := &cobra.Command{
		Use:   serveCommand,
		Short: "Run a process on the users' platform",
		Long: `Run a process on the users' platform. It accepts jobs from clients, keeps them in the store of the platform,
and decides where their tasks run while it is the leader. All processes are equal and keep nothing on disk.

On SIGTERM it resigns leadership, stops being ready, waits for the load balancer and finishes the calls in flight.`,
		Example: "  chivetiller serve --settings /etc/chivetiller/node.toml",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			if file == "" {
				return newUsageError(eris.Errorf("neither --settings nor %s names a settings file", platform.SettingsVariable))
			}
			return runServe(cmd, file, ownFile, level, metricsPort)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform (default: the file that "+platform.SettingsVariable+" names)")
	cmd.Flags().StringVar(&ownFile, "config", "", "settings file of the project's own, in YAML (default: all settings have their defaults)")
	cmd.Flags().StringVar(&level, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port of the metrics, on the IP address in the settings")
	return cmd
}

func runServe(cmd *cobra.Command, file, ownFile, level string, metricsPort int) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return newUsageError(err)
	}
	if metricsPort < 1 || metricsPort > maxPort {
		return newUsageError(eris.Errorf("metrics port %d is not between 1 and %d", metricsPort, maxPort))
	}
	s.MetricsPort = metricsPort
	if s.Serving, err = serving.Load(ownFile); err != nil {
		return newUsageError(err)
	}
	out := logging.NewBuffered(cmd.OutOrStdout(), maxBufferedLogLines, maxBufferedLogBytes)
	logger, err := logging.New(out, level, "text")
	if err != nil {
		return newUsageError(err)
	}
	logger = logger.With("node", s.Name)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	}
	client := platform.NewClient()
	dependencies := node.Dependencies{
		Store: platform.NewStore(client, s.StoreAddress), Commander: platform.NewWorkers(client), Instances: platform.NewInstances(client, s.InstancesAddress),
		Advisor: platform.NewAdvisor(client, s.AdviceAddress), Registry: platform.Registry{}, Decoder: platform.Operator{},
		JobsHandler:  func(i *intake.Intake, m *metrics.Jobs) http.Handler { return platform.NewJobs(i, m) },
		DroppedLines: out.Dropped,
		Logger:       logger,
	}
	n, err := node.New(s, dependencies)
	if err != nil {
		return err
	}
	stopReloads := reloadOnSignal(file, s, logger)
	defer stopReloads()
	return errors.Join(runUntilSignal(s.Name, s.Bounds.ShutdownGrace, n, logger), out.Close())
}

// reloadOnSignal checks the settings file on SIGHUP, and logs whether it is valid and differs from the settings in use.
// New settings take effect only at a restart, so that an incomplete or invalid file never harms a running process.
func reloadOnSignal(file string, current node.Settings, logger hclog.Logger) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangup.Signals():
			case <-done:
				return
			}
			next, err := platform.LoadSettings(file)
			if err != nil {
				logger.Error("Settings cannot be reloaded; the old ones stay in force.", "file", file, "error", err)
				continue
			}
			next.MetricsPort, next.Serving = current.MetricsPort, current.Serving
			logger.Info("Settings are read again.", "file", file, "changed", next != current)
		}
	}()
	return func() { close(done) }
}
