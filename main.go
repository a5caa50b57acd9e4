// Chivetiller manages fleet capacity and maintenance between callers and endpoints.
package main

import (
	"os"

	"github.com/chivetiller/chivetiller/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
