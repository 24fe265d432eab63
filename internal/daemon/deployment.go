package daemon

import (
	"fmt"
	"os"
	"time"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/settings"
	"standpoint/internal/transient"
)

// deployment is a configuration of the daemon. Exactly one of platform and operator is set.
type deployment struct {
	name       string
	listen     string
	console    string        // address of the operations console; "" for none
	limits     config.Limits // limits of this process
	nodeLimits config.Limits // limits of the node, which may consist of several processes
	killDelay  time.Duration // minimum time from SIGTERM until the platform kills the process; 0 if it never does
	platform   *config.PlatformConfig
	operator   *config.OperatorFile
}

// readDeployment reads the configuration at the start: the operator's file, or, if file is "", the platform's
// configuration.
func readDeployment(file string) (deployment, error) {
	if file != "" {
		cfg, err := config.ReadOperatorFile(file)
		return fromOperator(cfg), err
	}
	cfg, err := config.ReadPlatform(os.Getenv)
	return fromPlatform(cfg), err
}

func fromPlatform(cfg config.PlatformConfig) deployment {
	return deployment{
		name:       cfg.Name,
		listen:     cfg.Listen,
		console:    cfg.Console,
		limits:     cfg.Limits,
		nodeLimits: cfg.Limits,
		killDelay:  cfg.KillDelay(),
		platform:   &cfg,
	}
}

func fromOperator(cfg config.OperatorFile) deployment {
	return deployment{
		name:       cfg.Name,
		listen:     cfg.Listen,
		console:    cfg.Console,
		limits:     cfg.EffectiveLimits,
		nodeLimits: cfg.EffectiveLimits,
		operator:   &cfg,
	}
}

// requestSettings returns what both kinds of configuration have in common: the settings and the seed of the decision
// module, and the names that belong to the settings.
func (d deployment) requestSettings() (standpoint.Settings, config.Names, int64) {
	if d.platform != nil {
		return d.platform.Settings, d.platform.Names, d.platform.Seed
	}
	return d.operator.Settings, d.operator.Names, d.operator.Seed
}

// rereadDeployment reads the configuration again for the running process. The error names a key that is invalid, or
// that cannot change without a restart.
func (a *assembly) rereadDeployment() (deployment, error) {
	if a.current.platform != nil {
		cfg, err := a.current.platform.Reload(os.Getenv)
		return fromPlatform(cfg), err
	}
	text, err := a.operatorText()
	if err != nil {
		return deployment{}, err
	}
	cfg, err := a.current.operator.ReloadText(text)
	return fromOperator(cfg), err
}

// operatorText returns the operator's file merged with the shared configuration, which takes precedence.
func (a *assembly) operatorText() (string, error) {
	raw, err := transient.ReadFile(a.configFile)
	if err != nil {
		return "", fmt.Errorf("operator's file: %w", err)
	}
	if a.sharedSettings == "" {
		return string(raw), nil
	}
	return settings.Merge(string(raw), a.sharedSettings)
}
