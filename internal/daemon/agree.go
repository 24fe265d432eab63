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
	sharedKey  = "config/shared"
	agreeEvery = 2 * time.Second
)

// shared is the part of an operator's file in which the members of a deployment must not differ.
type shared struct {
	Classes []standpoint.Class  `json:"classes"`
	Tenants []standpoint.Tenant `json:"tenants"`
	Batch   any                 `json:"batch"`
}

// agree keeps that part in the store: the leader writes its own, the others say where theirs differs. A
// member with other classes would read the lines of a batch differently once it leads.
func agree(keys store.Store, cfg config.Operator, log *zap.Logger) func(context.Context) {
	own, err := json.Marshal(shared{cfg.Settings.Classes, cfg.Settings.Tenants, cfg.Batch})
	return func(ctx context.Context) {
		if err != nil {
			log.Error("configuration cannot be written", zap.Error(err))
			return
		}
		tick := time.NewTicker(agreeEvery)
		defer tick.Stop()
		var said uint64
		for ; ctx.Err() == nil; wait(ctx, tick) {
			v := keys.Get(sharedKey)
			if bytes.Equal(v.Data, own) {
				continue
			}
			if _, leads := keys.Leads(); leads {
				if _, err := keys.Write(ctx, store.Op{Key: sharedKey, Data: own, If: v.Version}); err != nil {
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
