package config

import "time"

// Kinds of store.
const (
	StoreMemory = "memory"
	StoreRaft   = "raft"
)

const minHeartbeatTimeout = 20 * time.Millisecond

// Store is the section [store].
type Store struct {
	Kind             string   `toml:"kind"`      // StoreMemory or StoreRaft
	ID               string   `toml:"id"`        // of this member
	Dir              string   `toml:"dir"`       // of its log; "" keeps it in memory
	HeartbeatTimeout Duration `toml:"heartbeat"` // 0 for the library's default
	Members          []Member `toml:"member"`
	SharedSettings   bool     `toml:"settings"` // the store's shared configuration is laid over this file
}

// Member is a [[store.member]]: a member of the store, and where its listeners are.
type Member struct {
	ID             string `toml:"id"`
	Address        string `toml:"address"`
	FrontAddress   string `toml:"front"`   // of its clients' listener
	ControlAddress string `toml:"control"` // of its control interface; needed where traffic moves between pools
	DialAddress    string `toml:"reach"`   // where this node reaches it, if not at Address
}

func (s *Store) validate() error {
	if s.Kind == StoreMemory {
		return nil
	}
	if s.Kind != StoreRaft {
		return keyError("store.kind", "%q is neither %q nor %q", s.Kind, StoreMemory, StoreRaft)
	}
	isMember := false
	for i, m := range s.Members {
		if err := m.validate(i); err != nil {
			return err
		}
		isMember = isMember || m.ID == s.ID
	}
	if s.HeartbeatTimeout != 0 && s.HeartbeatTimeout < Duration(minHeartbeatTimeout) {
		return keyError("store.heartbeat", "shorter than %v", minHeartbeatTimeout)
	}
	if !isMember {
		return keyError("store.id", "%q is not among store.member", s.ID)
	}
	return nil
}

func (m *Member) validate(i int) error {
	key := func(name string) string { return indexed("store.member", i, name) }
	if m.ID == "" {
		return keyError(key("id"), "missing")
	}
	if err := validateLoopback(key("address"), m.Address); err != nil {
		return err
	}
	if err := validateOptionalLoopback(key("reach"), m.DialAddress); err != nil {
		return err
	}
	return validateOptionalLoopback(key("control"), m.ControlAddress)
}
