package config

import "time"

// Kinds of stores.
const (
	StoreMemory = "memory" // in the memory of this process
	StoreRaft   = "raft"   // replicated by Raft
)

// minHeartbeatTimeout is the minimum of Store.HeartbeatTimeout.
const minHeartbeatTimeout = 20 * time.Millisecond

// Store is the section [store]: the key-value store that nodes share.
type Store struct {
	Kind             string   `toml:"kind"`      // StoreMemory or StoreRaft
	ID               string   `toml:"id"`        // id of this member
	Dir              string   `toml:"dir"`       // directory of this member's log; "" for a log in memory
	HeartbeatTimeout Duration `toml:"heartbeat"` // Raft heartbeat timeout; 0 for the library's default
	Members          []Member `toml:"member"`    // all members, including this one
	SharedSettings   bool     `toml:"settings"`  // whether shared configuration in the store overrides this file
}

// Member is a [[store.member]]: a member of the store, and the addresses of its listeners, host:port.
type Member struct {
	ID             string `toml:"id"`
	Address        string `toml:"address"` // address on which the member listens for other members
	FrontAddress   string `toml:"front"`   // address of its listener for clients
	ControlAddress string `toml:"control"` // address of its control interface; required if there are pools
	DialAddress    string `toml:"reach"`   // address at which this node reaches the member; "" for Address
}

func (s *Store) validate() error {
	if s.Kind == StoreMemory {
		return nil
	}
	if s.Kind != StoreRaft {
		return keyError("store.kind", "%q is not one of %q, %q", s.Kind, StoreMemory, StoreRaft)
	}
	isMember := false
	for i, m := range s.Members {
		if err := m.validate(i); err != nil {
			return err
		}
		isMember = isMember || m.ID == s.ID
	}
	if s.HeartbeatTimeout != 0 && s.HeartbeatTimeout < Duration(minHeartbeatTimeout) {
		return keyError("store.heartbeat", "%v is shorter than %v", time.Duration(s.HeartbeatTimeout), minHeartbeatTimeout)
	}
	if !isMember {
		return keyError("store.id", "%q is not among the store.member ids", s.ID)
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
