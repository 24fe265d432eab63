package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
	"standpoint/internal/node"
)

// storeTimeout bounds how long the start waits for the store to catch up, since the store may contain a migration in
// progress or a shared configuration.
const storeTimeout = 15 * time.Second

// migrationsComponent divides requests among pools and migrates traffic between them, if the operator's file defines
// pools.
func migrationsComponent(a *assembly) (component, error) {
	if a.operator.PoolSet.Len() == 0 {
		return component{}, nil
	}
	a.tracker = controller.NewTracker(a.operator, a.log)
	a.pools = a.tracker
	var plan atomic.Pointer[migration.Plan] // the plan of the deployment in force
	plan.Store(&a.operator.MigrationPlan)
	controlAddresses := map[string]string{}
	for _, m := range a.operator.Store.Members {
		controlAddresses[m.ID] = m.ControlAddress
	}
	a.migrations = controller.New(controller.Options{
		Name:    a.name,
		Tracker: a.tracker,
		Store:   a.store,
		Peers:   controlAddresses,
		Plan:    func() migration.Plan { return *plan.Load() },
		Token:   a.controlToken,
		Log:     a.log,
	})
	a.routes = append(a.routes, a.migrations.Routes()...)
	return component{
		name:  "migrations",
		start: func(ctx context.Context) { a.migrations.AwaitStore(ctx, storeTimeout) },
		run:   a.migrations.Run,
		check: func(next deployment) error { return a.tracker.Check(next.operator) },
		reload: func(next deployment) {
			plan.Store(&next.operator.MigrationPlan)
			a.tracker.Adjust(next.operator)
			// The core assigns endpoints to pools as it receives them, so all of them are sent again.
			a.endpointCache.Resend(func(l node.EndpointList) { a.core.UpdateEndpoints(l) })
		},
	}, nil
}

// controlToken reads the token with which members call each other's control interface. It returns "" if the token
// cannot be read.
func (a *assembly) controlToken() string {
	token, err := control.ReadToken(a.operator.ResolvePath(a.baseDirectory, a.operator.Control.TokenFile))
	if err != nil {
		a.log.Warn("control token unavailable", zap.Error(err))
	}
	return token
}
