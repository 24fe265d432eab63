package daemon

import (
	"go.uber.org/zap"
)

// reloadConfiguration reads the configuration again and applies it to all components or to none. It logs the error that
// it returns. Only the supervising goroutine may call it.
func (a *assembly) reloadConfiguration() error {
	next, err := a.rereadDeployment()
	if err == nil {
		next.limits = next.nodeLimits.PerProcess(1 + a.siblingCount)
		err = a.reload(next)
	}
	if err != nil {
		a.processLog.Error("configuration reload failed", zap.Error(err))
		return err
	}
	a.level.SetLevel(next.logging().level)
	a.applyProcessLimits()
	a.processLog.Info("configuration reloaded", zap.Any("limits", next.limits))
	return nil
}

// applyProcessLimits applies the limits of the deployment in force to the process.
func (a *assembly) applyProcessLimits() {
	applyLimits(a.current.limits)
	if a.clients != nil {
		a.clients.Resize(a.current.limits.MaxClientConnections())
	}
}

// reload applies a deployment to all components or, if one of them cannot apply it, to none.
func (a *assembly) reload(next deployment) error {
	if err := a.checkComponents(next); err != nil {
		return err
	}
	for _, c := range a.components {
		if c.reload != nil {
			c.reload(next)
		}
	}
	a.current = next
	return nil
}

// checkComponents returns the first error of a component that cannot apply a deployment.
func (a *assembly) checkComponents(next deployment) error {
	for _, c := range a.components {
		if c.check == nil {
			continue
		}
		if err := c.check(next); err != nil {
			return err
		}
	}
	return nil
}

// settingsRequest asks the supervising goroutine to apply a shared configuration, or only to check it.
type settingsRequest struct {
	text   string
	dryRun bool       // check only
	result chan error // has capacity 1, so that the supervising goroutine never blocks on it
}

// handleSettings checks or applies a shared configuration. On an error the previous one stays in force.
func (a *assembly) handleSettings(request settingsRequest) error {
	previous := a.sharedSettings
	a.sharedSettings = request.text
	if request.dryRun {
		defer func() { a.sharedSettings = previous }()
		next, err := a.rereadDeployment()
		if err != nil {
			return err
		}
		return a.checkComponents(next)
	}
	err := a.reloadConfiguration()
	if err != nil {
		a.sharedSettings = previous
	}
	return err
}
