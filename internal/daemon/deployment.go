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

// deployment is one configuration of the daemon. Exactly one of platform and operator is set.
type deployment struct {
	name       string
	listen     string
	console    string        // "" for no console
	limits     config.Limits // of this process
	nodeLimits config.Limits // of the node, which may be two processes
	killDelay  time.Duration // after SIGTERM, when the platform kills the process at the earliest; 0 for never
	platform   *config.PlatformConfig
	operator   *config.OperatorFile
}

// readDeployment reads the configuration at the start.
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

// requestSettings is what both kinds of configuration say about requests, and the seed of the decision module.
func (d deployment) requestSettings() (standpoint.Settings, config.Names, int64) {
	if d.platform != nil {
		return d.platform.Settings, d.platform.Names, d.platform.Seed
	}
	return d.operator.Settings, d.operator.Names, d.operator.Seed
}

// rereadDeployment reads the configuration for the running process. An error names what is invalid, or may not change.
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

// operatorText is the operator's file with the shared configuration laid over it.
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
