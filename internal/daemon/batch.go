package daemon

import (
	"net/http"
	"time"

	"standpoint/internal/batch"
)

// uploadTimeout bounds the upload of a batch file, which may take longer than the body of a single request.
const uploadTimeout = 2 * time.Minute

// batchComponent serves the batch API, if the operator's file enables it.
func batchComponent(a *assembly) (component, error) {
	cfg := &a.operator.Batch
	if !cfg.Enabled {
		return component{}, nil
	}
	members := map[string]string{}
	for _, m := range a.operator.Store.Members {
		members[m.ID] = m.FrontAddress
	}
	service := batch.New(batch.Options{
		Core:               a.core,
		Store:              a.store,
		Recoverer:          a.backends,
		Log:                a.log,
		Classes:            a.operator.Names.Classes,
		Tenants:            a.operator.Names.Tenants,
		Fields:             batch.RequestFields(cfg.Fields),
		Defaults:           batch.RequestFields(cfg.Defaults),
		MaxConcurrentLines: cfg.MaxConcurrentLines,
		LineTimeout:        time.Duration(cfg.LineTimeout),
		MaxAttempts:        cfg.MaxAttempts,
		MaxFileBytes:       cfg.MaxFileMB << 20,
		MaxTotalFileBytes:  a.limits.MaxFileBytes(),
		MemberAddresses:    members,
	})
	handler := service.Handler()
	upload := func(w http.ResponseWriter, r *http.Request) {
		// If the deadline cannot be set, the server's shorter one stays in force.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(uploadTimeout))
		handler.ServeHTTP(w, r)
	}
	a.handlers = append(a.handlers, prefixHandler{
		prefixes: []string{"/v1/files", "/v1/batches"},
		handler:  http.HandlerFunc(upload),
	})
	return component{name: "batch", run: service.Run}, nil
}
