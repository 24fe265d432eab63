package cli

import (
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"standpoint/internal/config"
)

func (o *options) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file and print the effective settings",
		Long: `Reads and validates an operator's file as serve does, and prints it with all defaults filled in. If the file is
invalid, the exit code is 2 and the message begins with the key.`,
		Example: "  standpoint check deploy/operator.toml",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE:    func(_ *cobra.Command, args []string) error { return o.check(args[0]) },
	}
}

func (o *options) check(path string) error {
	cfg, err := config.ReadOperatorFile(path)
	if err != nil {
		return exitError{InvalidUsage, err}
	}
	if o.output == outputText {
		return toml.NewEncoder(o.Out).Encode(cfg)
	}
	keys, err := tomlKeys(cfg)
	if err != nil {
		return err
	}
	return o.print(keys, nil)
}

// tomlKeys returns value as a map with the keys that its TOML encoding has.
func tomlKeys(value any) (map[string]any, error) {
	var text strings.Builder
	if err := toml.NewEncoder(&text).Encode(value); err != nil {
		return nil, err
	}
	var keys map[string]any
	_, err := toml.Decode(text.String(), &keys)
	return keys, err
}
