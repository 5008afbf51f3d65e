// Command celeryarch is a cluster scheduler for mixed workloads.
package main

import (
	"os"

	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/node/carunner"
)

func main() {
	os.Exit(int(cacommand.Run(os.Args[1:], os.Stdout, os.Stderr, carunner.Runners())))
}
