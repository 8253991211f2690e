// Command standin plays the systems around chestnutshed: platform, targets and
// callers, and runs demonstrations, experiments and measurements with them.
package main

import (
	"io"
	"os"

	"chestnutshed.example/chestnutshed/internal/core/command"
)

const usage = `Stand-ins for the systems around chestnutshed.

Run "standin COMMAND --help" for what a command takes.`

// program lists the subcommands, each in a file of its own.
func program(out io.Writer) command.Program {
	return command.Program{Name: "standin", Long: usage, Commands: []command.Command{
		{Name: "demo", Short: "run a whole deployment under load, here and now", Long: demoUsage, Data: &demoCommand{out: out}},
		{Name: "platform", Short: "play the platform's object API", Long: platformUsage, Data: &platformCommand{}},
		{Name: "target", Short: "play a target beside a node", Long: targetUsage, Data: &targetCommand{}},
		{Name: "load", Short: "play callers", Long: loadUsage, Data: &loadCommand{out: out}},
		{Name: "measure", Short: "take the figures of docs/CAPACITY.md", Long: measureUsage, Data: &measureCommand{out: out}},
		{Name: "experiment", Short: "measure the decisions in virtual time", Long: experimentUsage, Data: &experimentCommand{out: out}},
	}}
}

func main() {
	os.Exit(program(os.Stdout).Run(os.Args[1:], os.Stdout, os.Stderr))
}
