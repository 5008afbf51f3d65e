// Command caupstreams simulates all upstreams of a VM list in one process, so
// that a cell of full size can be measured on one machine.
package main

import (
	"context"
	"encoding/json"
	"os"
	"syscall"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandin"
	"celeryarch.example/celeryarch/internal/standin/castandup"
)

func main() {
	logger := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := runUpstreams(logger, os.Args[1:]); err != nil {
		logger.Error().Err(err).Send()
		os.Exit(1)
	}
}

// runUpstreams runs the upstreams of the list until the process is interrupted.
func runUpstreams(logger zerolog.Logger, arguments []string) error {
	if len(arguments) != 1 {
		return cakind.New(cakind.KindInvalid, "exactly one argument is required: the file with the list of VMs")
	}
	body, err := os.ReadFile(arguments[0])
	if err != nil {
		return cakind.Wrap(cakind.KindNotFound, err, "read the list of VMs")
	}
	var vms []caplatform.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode the list of VMs")
	}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, os.Interrupt))
	for _, vm := range vms {
		if vm.Role != caplatform.VMRoleUpstream {
			continue
		}
		if err := addServer(&group, vm); err != nil {
			return err
		}
		caevent.Info(logger, caevent.StandinStarted).Str("address", vm.Address).Send()
	}
	return group.Run()
}

// addServer adds the server of a simulated upstream to the group.
func addServer(group *run.Group, vm caplatform.VM) error {
	upstream := castandup.NewUpstream(catimer.NewService().Now, vm)
	server, err := castandin.NewServer(vm.Address, castandin.UpstreamHandler(upstream))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return server.Run(ctx) }, func(error) { cancel() })
	return nil
}
