// Command chestnutshed runs a node of the overload control layer and the
// operators' commands.
package main

import (
	"io"
	"os"

	"chestnutshed.example/chestnutshed/internal/core/command"
)

const usage = `Chestnutshed keeps service call graphs useful under overload.

Run "chestnutshed COMMAND --help" for what a command takes.`

// program lists the subcommands, each in a file of its own.
func program(out io.Writer) command.Program {
	return command.Program{Name: "chestnutshed", Long: usage, Commands: []command.Command{
		{Name: "node", Short: "run a node beside its target", Long: nodeUsage, Data: &nodeCommand{out: out}},
		{Name: "mesh", Short: "run a node on the users' platform", Long: meshUsage, Data: &meshCommand{out: out}},
		{Name: "check", Short: "check a manifest or settings file", Long: checkUsage, Data: &checkCommand{out: out}},
		{Name: "diff", Short: "show what a ship would change", Long: diffUsage, Data: &diffCommand{out: out}},
		{Name: "ship", Short: "put a manifest in force", Long: shipUsage, Data: &shipCommand{out: out}},
		{Name: "status", Short: "show the fleet at a glance", Long: statusUsage, Data: &statusCommand{out: out}},
		{Name: "handover", Short: "write the page for the next pair", Long: handoverUsage, Data: &handoverCommand{out: out}},
		{Name: "state", Short: "dump the state of a node", Long: stateUsage, Data: &stateCommand{out: out}},
		{Name: "drain", Short: "stop a node without cutting requests", Long: drainUsage, Data: &drainCommand{out: out}},
		{Name: "key", Short: "make a key for an organisation", Long: keyUsage, Data: &keyCommand{out: out}},
		{Name: "version", Short: "print the version", Long: versionUsage, Data: &versionCommand{out: out}},
	}}
}

func main() {
	os.Exit(program(os.Stdout).Run(os.Args[1:], os.Stdout, os.Stderr))
}
