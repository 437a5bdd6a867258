package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/result"
)

// Versioned is a set of command-line arguments that has the program's version.
type Versioned interface{ Version() string }

// Parse parses a command line into target, a pointer to a Versioned structure. If proceed is
// false, the program must end with the returned status: the help or the version was printed, or
// the command line is invalid.
func Parse(program string, target Versioned, parameters []string) (parser *arg.Parser, status int, proceed bool) {
	parser, err := arg.NewParser(arg.Config{Program: program}, target)
	if err != nil {
		return nil, Fail(program, err), false
	}
	switch err := parser.Parse(parameters); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
		return nil, 0, false
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(target.Version())
		return nil, 0, false
	case err != nil:
		return nil, Fail(program, result.New(result.UsageInvalid, "%v; see %s --help", err, program)), false
	}
	return parser, 0, true
}

// Fail prints an error and returns the exit status for its code. For an internal error it also
// prints the stack trace.
func Fail(program string, err error) int {
	failure := result.From(err)
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, failure)
	if failure.Code == result.Internal {
		if trace := eris.ToString(err, true); trace != err.Error() {
			fmt.Fprintln(os.Stderr, trace)
		}
	}
	return failure.Code.ExitStatus()
}

// NoCommand returns the error for a command line without a subcommand.
func NoCommand(program string) error {
	return result.New(result.UsageInvalid, "no command is given; see %s --help", program)
}
