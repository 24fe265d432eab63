package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/store"
)

const (
	memberSettingsKey      = "config/shared" // in the store
	memberSettingsInterval = 2 * time.Second
)

// memberSettings is the part of an operator's file in which the members of a store must not differ. A member with other
// classes would read the lines of a batch differently once it leads.
type memberSettings struct {
	Classes []standpoint.Class  `json:"classes"`
	Tenants []standpoint.Tenant `json:"tenants"`
	Batch   any                 `json:"batch"` // config.Batch
}

// memberSettingsComponent compares the members' settings, where batches run.
func memberSettingsComponent(a *assembly) (component, error) {
	if !a.operator.Batch.Enabled {
		return component{}, nil
	}
	return component{name: "member settings", run: maintainMemberSettings(a.store, *a.operator, a.log)}, nil
}

// maintainMemberSettings keeps the leader's settings in the store, and logs where this member's differ from them.
func maintainMemberSettings(keys store.Store, cfg config.OperatorFile, log *zap.Logger) func(context.Context) {
	settings := memberSettings{Classes: cfg.Settings.Classes, Tenants: cfg.Settings.Tenants, Batch: cfg.Batch}
	own, err := json.Marshal(settings)
	return func(ctx context.Context) {
		if err != nil {
			log.Error("member settings not encodable", zap.Error(err))
			return
		}
		comparison := &memberSettingsComparison{store: keys, own: own, log: log}
		poll(ctx, memberSettingsInterval, func() { comparison.update(ctx) })
	}
}

type memberSettingsComparison struct {
	store    store.Store
	own      []byte // this member's settings as JSON
	log      *zap.Logger
	reported uint64 // the version in the store whose difference has been logged
}

func (c *memberSettingsComparison) update(ctx context.Context) {
	stored := c.store.Get(memberSettingsKey)
	if bytes.Equal(stored.Data, c.own) {
		return
	}
	if _, leads := c.store.Leadership(); leads {
		op := store.Op{Key: memberSettingsKey, Data: c.own, ExpectedVersion: stored.Version}
		if _, err := c.store.Write(ctx, op); err != nil {
			c.log.Warn("member settings not stored", zap.Error(err))
		}
		return
	}
	if stored.Version != c.reported {
		c.reported = stored.Version
		c.log.Warn("member settings differ from the leader's", zap.Uint64("version", stored.Version))
	}
}
