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
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell to complete in: bash, zsh or fish."`
}

// Help shows the command in use.
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

// Run prints the shell's set-up, which asks this program for completions.
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

// completeLine answers a shell that asks for completions, and then exits.
func completeLine(parser *kong.Kong) {
	kongplete.Complete(parser,
		kongplete.WithPredictor("file", complete.PredictFiles("*")),
		kongplete.WithPredictor("dir", complete.PredictDirs("*")),
	)
}
