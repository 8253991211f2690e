// Command standin simulates the systems around chestnutshed: platform, targets and
// callers. It runs demonstrations, experiments and measurements with them.
package main

import (
	"io"
	"os"

	"chestnutshed.example/chestnutshed/internal/core/command"
)

const usage = `Stand-ins for the systems around chestnutshed.

Run "standin COMMAND --help" for the flags of a command.`

// program returns the command line with its subcommands, each in its own file.
func program(out io.Writer) command.Program {
	return command.Program{Name: "standin", Long: usage, Commands: []command.Command{
		{Name: "demo", Short: "run a deployment under load in this process", Long: demoUsage, Data: &demoCommand{out: out}},
		{Name: "platform", Short: "simulate the platform's object API", Long: platformUsage, Data: &platformCommand{}},
		{Name: "target", Short: "simulate a target beside a node", Long: targetUsage, Data: &targetCommand{}},
		{Name: "load", Short: "simulate callers", Long: loadUsage, Data: &loadCommand{out: out}},
		{Name: "measure", Short: "measure the figures in docs/CAPACITY.md", Long: measureUsage, Data: &measureCommand{out: out}},
		{Name: "experiment", Short: "measure the decision packages in virtual time", Long: experimentUsage, Data: &experimentCommand{out: out}},
	}}
}

func main() {
	os.Exit(program(os.Stdout).Run(os.Args[1:], os.Stdout, os.Stderr))
}
