// Command chestnutshed runs a node of the overload control layer and the
// operators' commands.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

// Exit codes of all commands.
const (
	exitOK = 0
	// exitFailed means that the command was understood and did not succeed.
	exitFailed = 1
	// exitUsage means wrong arguments or invalid input files.
	exitUsage = 2
	// exitConflict means that someone else changed the configuration first.
	exitConflict = 3
)

const usage = `Chestnutshed keeps service call graphs useful under overload.

Run "chestnutshed COMMAND --help" for what a command takes.`

// command is one subcommand, each in a file of its own.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func newParser(out io.Writer) (*flags.Parser, error) {
	parser := flags.NewNamedParser("chestnutshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = usage
	for _, c := range commands(out) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

func commands(out io.Writer) []command {
	return []command{
		{"node", "run a node beside its target", nodeUsage, &nodeCommand{out: out}},
		{"check", "check a manifest or settings file", checkUsage, &checkCommand{out: out}},
		{"diff", "show what a ship would change", diffUsage, &diffCommand{out: out}},
		{"ship", "put a manifest in force", shipUsage, &shipCommand{out: out}},
		{"status", "show the fleet at a glance", statusUsage, &statusCommand{out: out}},
		{"handover", "write the page for the next pair", handoverUsage, &handoverCommand{out: out}},
		{"state", "dump the state of a node", stateUsage, &stateCommand{out: out}},
		{"drain", "stop a node without cutting requests", drainUsage, &drainCommand{out: out}},
		{"key", "make a key for an organisation", keyUsage, &keyCommand{out: out}},
		{"version", "print the version", versionUsage, &versionCommand{out: out}},
	}
}

// run carries out one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	parser, err := newParser(out)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	_, err = parser.ParseArgs(args)
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
	_, _ = fmt.Fprintln(errOut, "chestnutshed:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case trace.IsCompareFailed(err):
		return exitConflict
	case trace.IsBadParameter(err), trace.IsLimitExceeded(err), trace.IsNotFound(err):
		return exitUsage
	}
	return exitFailed
}

func main() {
	logrus.SetOutput(os.Stderr)
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
