// Package command runs the subcommands of a program.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// Exit codes of all programs.
const (
	OK = 0
	// Failed means that the command was valid but did not succeed.
	Failed = 1
	// Usage means invalid arguments or input files.
	Usage = 2
	// Conflict means that the configuration was changed concurrently.
	Conflict = 3
)

// Command is a subcommand.
type Command struct {
	Name  string
	Short string
	// Long is the usage text.
	Long string
	// Data is the struct with the command's flags. It must be a flags.Commander.
	Data any
}

// Program is a program with its subcommands.
type Program struct {
	Name     string
	Long     string
	Commands []Command
}

// Run parses and runs one command line, and returns the exit code.
func (p Program) Run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = p.Long
	for _, c := range p.Commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Data); err != nil {
			_, _ = fmt.Fprintf(errOut, "%s: add command %s: %v\n", p.Name, c.Name, err)
			return Failed
		}
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return OK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintln(errOut, err)
		return Usage
	}
	_, _ = fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
	return exitCode(err)
}

// exitCode maps the kind of an error to an exit code.
func exitCode(err error) int {
	switch {
	case trace.IsCompareFailed(err):
		return Conflict
	case trace.IsBadParameter(err), trace.IsLimitExceeded(err), trace.IsNotFound(err):
		return Usage
	}
	return Failed
}
