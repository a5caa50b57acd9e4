package commands

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// standInStopTimeout is the time limit for stopping a stand-in.
const standInStopTimeout = 5 * time.Second

func newPlatformCommand() *cobra.Command {
	var (
		listen string
		lag    time.Duration
	)
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve a stand-in for the platform (for development)",
		Long: `Serve a development stand-in for the platform on loopback: table, object store, list of instances and tasks.
It keeps everything in memory and loses it on exit. It is not meant for production.`,
		Example: "  chivetiller platform --listen 127.0.0.1:9000",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger, err := logging.New(cmd.ErrOrStderr(), "info", "text")
			if err != nil {
				return err
			}
			server, err := standin.Serve(standin.New(standin.Options{ListLag: lag}), listen, logger)
			if err != nil {
				return newUsageError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "platform: http://%s\n", server.Address())
			waitForSignal(cmd.Context())
			ctx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
			defer cancel()
			return server.Stop(ctx)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "IP address and port")
	cmd.Flags().DurationVar(&lag, "list-lag", 500*time.Millisecond, "time until a change appears in the list of instances")
	return cmd
}

// waitForSignal returns after SIGTERM or SIGINT.
func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}
