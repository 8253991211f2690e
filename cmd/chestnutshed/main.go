// Command chestnutshed runs a node of the overload control layer, and has the
// commands for operators.
package main

import (
	"io"
	"os"

	"chestnutshed.example/chestnutshed/internal/core/command"
)

const usage = `Chestnutshed is an overload control layer for calls between services.

Run "chestnutshed COMMAND --help" for the options of a command.`

// program returns the subcommands. Each has its own file.
func program(out io.Writer) command.Program {
	return command.Program{Name: "chestnutshed", Long: usage, Commands: []command.Command{
		{Name: "node", Short: "run a node beside its target", Long: nodeUsage, Data: &nodeCommand{out: out}},
		{Name: "mesh", Short: "run a node on the users' platform", Long: meshUsage, Data: &meshCommand{out: out}},
		{Name: "check", Short: "validate a manifest or settings file", Long: checkUsage, Data: &checkCommand{out: out}},
		{Name: "diff", Short: "compare a manifest with the active one", Long: diffUsage, Data: &diffCommand{out: out}},
		{Name: "ship", Short: "activate a manifest", Long: shipUsage, Data: &shipCommand{out: out}},
		{Name: "status", Short: "show the state of the fleet", Long: statusUsage, Data: &statusCommand{out: out}},
		{Name: "handover", Short: "write the shift report", Long: handoverUsage, Data: &handoverCommand{out: out}},
		{Name: "state", Short: "dump the state of a node", Long: stateUsage, Data: &stateCommand{out: out}},
		{Name: "drain", Short: "shut down nodes gracefully", Long: drainUsage, Data: &drainCommand{out: out}},
		{Name: "key", Short: "generate a key for an organisation", Long: keyUsage, Data: &keyCommand{out: out}},
		{Name: "version", Short: "print the version", Long: versionUsage, Data: &versionCommand{out: out}},
	}}
}

func main() {
	os.Exit(program(os.Stdout).Run(os.Args[1:], os.Stdout, os.Stderr))
}
