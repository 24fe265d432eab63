package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"standpoint/internal/config"
	"standpoint/internal/control"
)

// registerDaemonFlags registers the flags with the address and the token of the daemon's control interface.
func (o *options) registerDaemonFlags(c *cobra.Command) {
	flags := c.PersistentFlags()
	flags.StringVar(&o.control, "control", os.Getenv(controlVariable),
		"address of the control interface, host:port or unix:PATH "+
			"(default: $STANDPOINT_CONTROL, or control.listen of --config)")
	flags.StringVar(&o.tokenFile, "token-file", "",
		"path of the file with the control token (default: control.token_file of --config)")
}

// client returns a client of the daemon whose address is set by the flags or the operator's file.
func (o *options) client() (*control.Client, error) {
	address, tokenFile, err := o.controlAddress()
	if err != nil {
		return nil, err
	}
	if address == "" {
		err := errors.New("--control: not set, and no --config file sets control.listen; set one of them")
		return nil, exitError{InvalidUsage, err}
	}
	token := ""
	if tokenFile != "" {
		if token, err = control.ReadToken(tokenFile); err != nil {
			return nil, exitError{InvalidUsage, fmt.Errorf("--token-file: %w", err)}
		}
	}
	return control.NewClient(address, token), nil
}

// controlAddress returns the address and the token file of the flags. Those that are not set are read from the
// operator's file.
func (o *options) controlAddress() (address, tokenFile string, err error) {
	address, tokenFile = o.control, o.tokenFile
	if o.config == "" || address != "" && tokenFile != "" {
		return address, tokenFile, nil
	}
	cfg, err := config.ReadOperatorFile(o.config)
	if err != nil {
		return "", "", exitError{InvalidUsage, err}
	}
	base := filepath.Dir(o.config)
	if address == "" {
		address = cfg.Control.Listen
		if path, ok := strings.CutPrefix(address, config.UnixPrefix); ok {
			address = config.UnixPrefix + cfg.ResolvePath(base, path)
		}
	}
	if tokenFile == "" {
		tokenFile = cfg.ResolvePath(base, cfg.Control.TokenFile)
	}
	return address, tokenFile, nil
}

// call sends one call to the daemon, as control.Client.Call does. Its errors carry their exit codes.
func (o *options) call(ctx context.Context, method, path string, in, out any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	return withExitCode(client.Call(ctx, method, path, in, out))
}
