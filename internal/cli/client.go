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

// registerDaemonFlags registers the flags that say where the daemon's control interface is.
func (o *options) registerDaemonFlags(c *cobra.Command) {
	flags := c.PersistentFlags()
	flags.StringVar(&o.control, "control", os.Getenv(controlVariable),
		"the control interface, host:port or unix:PATH; else control.listen of --config (also STANDPOINT_CONTROL)")
	flags.StringVar(&o.tokenFile, "token-file", "", "a file with the token; else control.token_file of --config")
}

// client returns a client of the daemon that the flags, or the operator's file, name.
func (o *options) client() (*control.Client, error) {
	address, tokenFile, err := o.controlAddress()
	if err != nil {
		return nil, err
	}
	if address == "" {
		err := errors.New("--control: not given, and no --config says control.listen")
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

// controlAddress returns the flags, completed from the operator's file.
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

// call calls the daemon once; see control.Client. Its errors have their exit codes.
func (o *options) call(ctx context.Context, method, path string, in, out any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	return withExitCode(client.Call(ctx, method, path, in, out))
}
