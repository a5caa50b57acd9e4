package commands

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// newReferenceCommand returns the hidden command that writes docs/reference.
func newReferenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "reference DIR",
		Short:   "Write the reference of all commands in Markdown",
		Example: "  chivetiller reference docs/reference",
		Args:    exactArgs(1),
		Hidden:  true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return writeReferencePages(cmd.Root(), args[0])
		},
	}
}

func writeReferencePages(root *cobra.Command, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "write the reference")
	}
	// A date in each page would make the check of the committed pages fail every day.
	root.DisableAutoGenTag = true
	root.InitDefaultCompletionCmd()
	return eris.Wrap(doc.GenMarkdownTree(root, dir), "write the reference")
}
