// Command chivetiller manages fleet capacity and maintenance. It routes requests from callers to endpoints.
package main

import (
	"os"

	"github.com/chivetiller/chivetiller/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
