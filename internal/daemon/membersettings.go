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
	memberSettingsKey      = "config/shared" // key in the store
	memberSettingsInterval = 2 * time.Second
)

// memberSettings is the part of an operator's file that must be the same at all members of a store. A member with other
// classes would interpret the lines of a batch differently once it becomes the leader.
type memberSettings struct {
	Classes []standpoint.Class  `json:"classes"`
	Tenants []standpoint.Tenant `json:"tenants"`
	Batch   any                 `json:"batch"` // a config.Batch
}

// memberSettingsComponent compares the settings of the store's members, if batches are enabled.
func memberSettingsComponent(a *assembly) (component, error) {
	if !a.operator.Batch.Enabled {
		return component{}, nil
	}
	return component{name: "member settings", run: maintainMemberSettings(a.store, *a.operator, a.log)}, nil
}

// maintainMemberSettings returns a function that, until its context ends, keeps the leader's settings in the store and
// logs a warning where this member's settings differ from them.
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

// memberSettingsComparison compares this member's settings with those in the store.
type memberSettingsComparison struct {
	store    store.Store
	own      []byte // this member's settings as JSON
	log      *zap.Logger
	reported uint64 // store version of the last settings whose difference was logged
}

// update writes this member's settings to the store if it is the leader, and otherwise logs a difference once for each
// version.
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
