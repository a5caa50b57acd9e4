package commands

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/provider"
	platformstandin "github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/standin"
)

// endpointOptions are the flags of the endpoint command.
type endpointOptions struct {
	id, dataCentre, rack    string
	listen, control         string
	platform                string
	serviceTime, rebootTime time.Duration
	cores                   float64
	memory                  int64
}

func newEndpointCommand() *cobra.Command {
	var o endpointOptions
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Run a stand-in endpoint (for development)",
		Long: `Run a development stand-in for an endpoint on loopback and register it with a stand-in platform.
It echoes the body of each request after a random service time. It is not meant for production.`,
		Example: "  chivetiller endpoint --id i01 --data-centre north --rack north-1 --platform 127.0.0.1:9000",
		Args:    exactArgs(0),
		RunE:    func(cmd *cobra.Command, _ []string) error { return runEndpoint(cmd, o) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.id, "id", "", "name of the instance (required)")
	flags.StringVar(&o.dataCentre, "data-centre", "", "data centre (required)")
	flags.StringVar(&o.rack, "rack", "", "rack (required)")
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "IP address and port for requests")
	flags.StringVar(&o.control, "control", "127.0.0.1:0", "IP address and port where the stand-in platform drains and reboots the endpoint")
	flags.StringVar(&o.platform, "platform", "127.0.0.1:9000", "IP address and port of the stand-in platform")
	flags.DurationVar(&o.serviceTime, "service", 10*time.Millisecond, "mean service time")
	flags.DurationVar(&o.rebootTime, "reboot", time.Second, "duration of a reboot")
	flags.Float64Var(&o.cores, "cores", 64, "processors")
	flags.Int64Var(&o.memory, "memory", 256<<30, "memory in bytes")
	for _, name := range []string{"id", "data-centre", "rack"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func runEndpoint(cmd *cobra.Command, o endpointOptions) error {
	logger, err := logging.New(cmd.ErrOrStderr(), "info", "text")
	if err != nil {
		return err
	}
	e := standin.New(standin.Options{ID: o.id, Address: o.listen, ServiceTime: standin.Exponential(o.serviceTime), MaxRuns: 10_000, Logger: logger})
	if err := e.Start(cmd.Context()); err != nil {
		return newUsageError(err)
	}
	listener, err := net.Listen("tcp", o.control)
	if err != nil {
		return newUsageError(eris.Wrap(err, "control"))
	}
	server := &http.Server{Handler: platformstandin.InstanceDriverHandler(standin.NewInstanceDriver(e, o.rebootTime)), ReadHeaderTimeout: standInStopTimeout}
	go func() { _ = server.Serve(listener) }()
	if err := registerEndpoint(cmd.Context(), o, e, listener.Addr().String()); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "endpoint %s: http://%s\n", o.id, e.Address())
	waitForSignal(cmd.Context())
	ctx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	return e.Stop(ctx)
}

func registerEndpoint(ctx context.Context, o endpointOptions, e *standin.Endpoint, control string) error {
	remote := platformstandin.NewRemote(platformstandin.RemoteOptions{
		Address:  o.platform,
		Identity: platformstandin.Identity{Client: o.id, DataCentre: o.dataCentre},
	})
	defer remote.Close()
	return eris.Wrap(remote.Register(ctx, provider.Instance{
		ID: o.id, DataCentre: o.dataCentre, Rack: o.rack, Address: e.Address(),
		Slots: standin.DefaultSlots, Cores: o.cores, Memory: o.memory,
	}, control), "register the endpoint with the platform")
}
