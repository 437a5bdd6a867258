package main

import (
	"context"
	"fmt"

	"github.com/tinarch/tinarch/internal/result"
)

type completionCommand struct {
	Shell string `arg:"positional,required" help:"bash or zsh"`
}

const bashCompletion = `_tinarch() {
  local current="${COMP_WORDS[COMP_CWORD]}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "apply delete get status engines drain watch check key completion --server --token --output --help --version" -- "$current"))
    return
  fi
  case "${COMP_WORDS[1]}" in
    apply|check) COMPREPLY=($(compgen -f -- "$current")) ;;
    delete) COMPREPLY=($(compgen -W "class kind model version adapter pool tenant" -- "$current")) ;;
    completion) COMPREPLY=($(compgen -W "bash zsh" -- "$current")) ;;
    *) COMPREPLY=($(compgen -W "--server --token --output --help" -- "$current")) ;;
  esac
}
complete -F _tinarch tinarch
`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

func (c *completionCommand) run(context.Context, environment) error {
	switch c.Shell {
	case "bash":
		fmt.Print(bashCompletion)
	case "zsh":
		fmt.Print(zshCompletion)
	default:
		return result.New(result.UsageInvalid, "shell %q is not known; use bash or zsh", c.Shell)
	}
	return nil
}
