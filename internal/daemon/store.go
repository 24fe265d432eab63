package daemon

import (
	"time"

	"standpoint/internal/config"
	"standpoint/internal/store"
)

// memoryStoreComponent creates a store in the memory of this process.
func memoryStoreComponent(a *assembly) (component, error) {
	a.store = store.NewMemory()
	return component{name: "store", stop: a.store.Close}, nil
}

// storeComponent opens the store that the operator's file configures.
func storeComponent(a *assembly) (component, error) {
	cfg := &a.operator.Store
	if cfg.Kind == config.StoreMemory {
		return memoryStoreComponent(a)
	}
	raft, err := store.OpenRaft(raftOptions(cfg, a.operator.ResolvePath(a.baseDirectory, cfg.Dir)))
	if err != nil {
		return component{}, err
	}
	a.store = raft
	return component{name: "store", stop: raft.Close}, nil
}

func raftOptions(cfg *config.Store, dir string) store.RaftOptions {
	options := store.RaftOptions{ID: cfg.ID, Dir: dir, HeartbeatTimeout: time.Duration(cfg.HeartbeatTimeout)}
	for _, m := range cfg.Members {
		options.Members = append(options.Members, store.Member{ID: m.ID, Address: m.Address,
			DialAddress: m.DialAddress})
		if m.ID == cfg.ID {
			options.ListenAddress = m.Address
		}
	}
	return options
}
