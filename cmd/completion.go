package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// Help returns examples.
func (completionCommand) Help() string {
	return `Examples:
  eval "$(egretreach completion bash)"
  egretreach completion fish > ~/.config/fish/completions/egretreach.fish`
}

const (
	bashCompletion = "complete -C %[1]q egretreach\n"
	zshCompletion  = "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %[1]q egretreach\n"
	fishCompletion = `function __complete_egretreach
    set -lx COMP_LINE (commandline -cp)
    test -z (commandline -ct)
    and set COMP_LINE "$COMP_LINE "
    %[1]q
end
complete -f -c egretreach -a "(__complete_egretreach)"
`
)

// Run prints the script for the shell. The script calls this program for completions.
func (c completionCommand) Run(stdout io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	script := bashCompletion
	switch c.Shell {
	case "zsh":
		script = zshCompletion
	case "fish":
		script = fishCompletion
	}
	fmt.Fprintf(stdout, script, program)
	return nil
}

// completeLine prints the completions and exits if a shell has called the program for them.
func completeLine(parser *kong.Kong) {
	kongplete.Complete(parser,
		kongplete.WithPredictor("file", complete.PredictFiles("*")),
		kongplete.WithPredictor("dir", complete.PredictDirs("*")),
	)
}
