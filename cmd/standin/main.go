// Command standin plays the systems around chestnutshed: platform, targets and
// callers, and runs demonstrations, experiments and measurements with them.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all commands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand, each in a file of its own.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func commands(out io.Writer) []command {
	return []command{
		{"demo", "run a whole deployment under load, here and now", demoUsage, &demoCommand{out: out}},
		{"platform", "play the platform's object API", platformUsage, &platformCommand{}},
		{"target", "play a target beside a node", targetUsage, &targetCommand{}},
		{"load", "play callers", loadUsage, &loadCommand{out: out}},
		{"measure", "take the figures of docs/CAPACITY.md", measureUsage, &measureCommand{out: out}},
		{"experiment", "measure the decisions in virtual time", experimentUsage, &experimentCommand{out: out}},
	}
}

func run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands(out) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return exitOK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(errOut, "standin:", err)
	return exitFailed
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
