package commands

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/peer/devcert"
)

func newCertificatesCommand() *cobra.Command {
	var validity time.Duration
	cmd := &cobra.Command{
		Use:   "certificates DIR NAME...",
		Short: "Write certificates for entry instances (for development)",
		Long: `Write a certificate and key for each named entry instance, and the certificate of a new authority that issued them.
The key of the authority is not kept. Use your own authority in production.`,
		Example: "  chivetiller certificates certificates north-1 south-1 harbour-1",
		Args: func(cmd *cobra.Command, args []string) error {
			return newUsageError(cobra.MinimumNArgs(2)(cmd, args))
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], 0o700); err != nil {
				return newUsageError(err)
			}
			authority, err := devcert.NewAuthority()
			if err != nil {
				return err
			}
			for _, name := range args[1:] {
				files, err := authority.Write(args[0], name, validity)
				if err != nil {
					return eris.Wrapf(err, "certificate of %s", name)
				}
				fmt.Fprintln(cmd.OutOrStdout(), files.Certificate)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&validity, "validity", 30*24*time.Hour, "validity of the certificates")
	return cmd
}
