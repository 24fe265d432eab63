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
	memberSettingsKey      = "config/shared"
	memberSettingsInterval = 2 * time.Second
)

// memberSettings is the part of an operator's file in which the members of a deployment must not differ.
type memberSettings struct {
	Classes []standpoint.Class  `json:"classes"`
	Tenants []standpoint.Tenant `json:"tenants"`
	Batch   any                 `json:"batch"`
}

// maintainMemberSettings keeps that part in the store: the leader writes its own, the others say where theirs differs. A
// member with other classes would read the lines of a batch differently once it leads.
func maintainMemberSettings(keys store.Store, cfg config.OperatorFile, log *zap.Logger) func(context.Context) {
	own, err := json.Marshal(memberSettings{cfg.Settings.Classes, cfg.Settings.Tenants, cfg.Batch})
	return func(ctx context.Context) {
		if err != nil {
			log.Error("configuration cannot be written", zap.Error(err))
			return
		}
		tick := time.NewTicker(memberSettingsInterval)
		defer tick.Stop()
		var said uint64
		for ; ctx.Err() == nil; wait(ctx, tick) {
			v := keys.Get(memberSettingsKey)
			if bytes.Equal(v.Data, own) {
				continue
			}
			if _, leads := keys.Leadership(); leads {
				if _, err := keys.Write(ctx, store.Op{Key: memberSettingsKey, Data: own, ExpectedVersion: v.Version}); err != nil {
					log.Warn("configuration was not kept", zap.Error(err))
				}
			} else if v.Version != said {
				said = v.Version
				log.Warn("classes, tenants or batch settings differ from the leader's", zap.Uint64("version", v.Version))
			}
		}
	}
}

func wait(ctx context.Context, tick *time.Ticker) {
	select {
	case <-ctx.Done():
	case <-tick.C:
	}
}
