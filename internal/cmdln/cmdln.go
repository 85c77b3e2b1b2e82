// Package cmdln implements the commands of the wasabibend program. Each command has
// a file of its own.
package cmdln

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Exit codes of the program. exitUsage means that the command line was not valid.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// callTimeout is the timeout of a key or table command. "table import" applies it
// to each row that it writes.
const callTimeout = 30 * time.Second

// command is a command of the program, or a verb of a command.
type command struct {
	name    string
	run     func(ctx context.Context, c *console, args []string) error
	summary string
}

// console holds the writers for the errors and the output of a command.
type console struct {
	err io.Writer
	out io.Writer
}

// usageError means that the flags or operands of a command are not valid.
type usageError struct {
	text string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.text
}

func commands() []command {
	return []command{
		{"check", runCheck, "check a settings file, a CSV table, or both"},
		{"key", runKey, "grant, withdraw and list API keys"},
		{"node", runNode, "run a node"},
		{"status", runStatus, "show the status of nodes"},
		{"table", runTable, "show and edit the table"},
		{"version", runVersion, "show the version"},
	}
}

// Main runs the command that the arguments name and returns the exit code of the
// program. SIGINT and SIGTERM cancel the command.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := &console{err: errOut, out: out}
	if len(args) == 0 {
		printUsage(errOut)
		return exitUsage
	}
	for _, cmd := range commands() {
		if cmd.name == args[0] {
			return report(c, cmd.name, cmd.run(ctx, c, args[1:]))
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printUsage(out)
		return exitOK
	}
	fmt.Fprintf(errOut, "wasabibend: unknown command %q\n", args[0])
	printUsage(errOut)
	return exitUsage
}

func printUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: wasabibend COMMAND [FLAGS]")
	for _, cmd := range commands() {
		fmt.Fprintf(w, "  %-8s %s\n", cmd.name, cmd.summary)
	}
	fmt.Fprintln(w, "Run \"wasabibend COMMAND -h\" to see the flags or verbs of a command.")
}

// report prints the error of a command, if any, and returns the exit code.
func report(c *console, name string, err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(c.err, "wasabibend %s: %s\n", name, usage.text)
		return exitUsage
	}
	fmt.Fprintf(c.err, "wasabibend %s: %s\n", name, trace.UserMessage(err))
	return exitFailure
}

// newFlags returns an empty flag set for a command. The name and the operands
// appear in its usage text.
func newFlags(c *console, name, operands string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.err)
	flags.Usage = func() {
		fmt.Fprintf(c.err, "usage: wasabibend %s [FLAGS] %s\n", name, operands)
		flags.PrintDefaults()
	}
	return flags
}

// parse parses the flags of a command. It returns flag.ErrHelp for -h, and a
// *usageError if the flags are not valid or the number of operands is not in the
// given range.
func parse(flags *flag.FlagSet, args []string, minOperands, maxOperands int) error {
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &usageError{err.Error()}
	}
	if n := flags.NArg(); n < minOperands || n > maxOperands {
		return &usageError{fmt.Sprintf("wrong number of operands (%d): see wasabibend %s -h", n, flags.Name())}
	}
	return nil
}

// dispatch runs the verb that the first argument names. If it names none, dispatch
// prints the verbs, and returns nil for -h and a *usageError otherwise.
func dispatch(ctx context.Context, c *console, name string, verbs []command, args []string) error {
	if len(args) > 0 {
		for _, verb := range verbs {
			if verb.name == args[0] {
				return verb.run(ctx, c, args[1:])
			}
		}
		if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
			printVerbs(c.out, name, verbs)
			return nil
		}
	}
	printVerbs(c.err, name, verbs)
	return &usageError{"the verb is missing or unknown"}
}

func printVerbs(w io.Writer, name string, verbs []command) {
	fmt.Fprintf(w, "usage: wasabibend %s VERB [FLAGS]\n", name)
	for _, verb := range verbs {
		fmt.Fprintf(w, "  %-8s %s\n", verb.name, verb.summary)
	}
}
