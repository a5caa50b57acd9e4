package commands

import (
	"context"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/entry"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/settings"
)

func newEntryCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance",
		Long: `Run an entry instance. It accepts requests of callers and operators, sends work to endpoints,
and runs the duties (control loops) that it holds. All entry instances are equal and keep nothing on disk.

On SIGTERM or SIGINT it stops being ready, waits for the load balancer, finishes the requests in flight,
releases its leases and allotments, and exits with code 0. A second signal ends the wait; what was left unfinished
is reported.`,
		Example: "  chivetiller entry --settings entry.yaml",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return newUsageError(err)
			}
			logger, err := logging.New(cmd.ErrOrStderr(), s.Log().Level, s.Log().Format)
			if err != nil {
				return newUsageError(err)
			}
			return runEntry(s, logger)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file in YAML (required)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runEntry(s settings.Settings, logger hclog.Logger) error {
	if memory := s.Limits().MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	address, err := url.Parse(s.Platform().URL)
	if err != nil {
		return newUsageError(err)
	}
	remote := standin.NewRemote(standin.RemoteOptions{
		Address:  address.Host,
		Identity: standin.Identity{Client: s.Name(), DataCentre: s.DataCentre()},
		Timeout:  s.Platform().Timeout,
	})
	defer remote.Close()
	e, err := entry.New(entry.Options{
		Settings: s,
		Platform: entry.Services{Table: remote.Table(), Objects: remote.Objects(), Instances: remote.Instances(), Tasks: remote.Tasks()},
		Logger:   logger,
	})
	if err != nil {
		return err
	}
	return runUntilSignal(s.Name(), s.Stop().BalancerWait+s.Stop().Timeout, e, logger)
}

// startStopper is a service that runUntilSignal starts and stops.
type startStopper interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// runUntilSignal runs a service as a kratos application, which stops it on the first SIGTERM or SIGINT.
func runUntilSignal(name string, stopTimeout time.Duration, service startStopper, logger hclog.Logger) error {
	server := &signalServer{service: service, logger: logger}
	app := kratos.New(
		kratos.ID(name),
		kratos.Name("chivetiller"),
		kratos.Server(server),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
	)
	if err := app.Run(); err != nil {
		return eris.Wrap(err, "run the process")
	}
	return server.stopErr
}

// signalServer adapts a service to the server interface of kratos. A second signal cancels the context of a slow stop.
type signalServer struct {
	service startStopper
	logger  hclog.Logger
	stopErr error
}

// Start implements the server interface of kratos.
func (s *signalServer) Start(ctx context.Context) error { return s.service.Start(ctx) }

// Stop implements the server interface of kratos.
func (s *signalServer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	second := make(chan os.Signal, 1)
	signal.Notify(second, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(second)
	go func() {
		select {
		case <-second:
			s.logger.Warn("Second signal received; the stop does not wait any longer.")
			cancel()
		case <-ctx.Done():
		}
	}()
	s.stopErr = s.service.Stop(ctx)
	return nil
}
