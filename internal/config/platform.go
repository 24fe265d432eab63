package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"standpoint"
	"standpoint/internal/transient"
)

const (
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 100 * time.Millisecond

	maxKillDeadline = 3 * time.Second // how much of the longest deadline delays the kill after SIGTERM
	killGrace       = 700 * time.Millisecond

	firstInheritedFD = 3 // descriptors below are the standard streams
)

// Variables of the platform. Those with a key of the same meaning in the file win over it.
const (
	configVariable    = "PROXY_CONFIG"
	nameVariable      = "PROXY_NAME"
	listenVariable    = "PROXY_LISTEN"
	discoveryVariable = "PROXY_DISCOVERY"
	consoleVariable   = "PROXY_CONSOLE"
	listenerVariable  = "PROXY_SOCKET_FD"
)

// PlatformConfig is the configuration of a node that the platform starts.
type PlatformConfig struct {
	Name      string
	Listen    string
	Discovery string // the address of the endpoint list's source
	Console   string // the address of the operations console; "" for none
	// ListenerFD is the descriptor of the clients' listening socket, inherited from the platform; 0 for none.
	ListenerFD     int
	Seed           int64
	Limits         Limits
	PeerListen     string
	AllPeers       string
	Peers          []string
	KnownEndpoints json.RawMessage // the endpoint list as last known, in discovery's form
	Settings       standpoint.Settings
	Names          Names
}

// ReadPlatform reads the platform's variables and the file that PROXY_CONFIG names.
func ReadPlatform(getenv func(string) string) (PlatformConfig, error) {
	path := getenv(configVariable)
	if path == "" {
		return PlatformConfig{}, keyError(configVariable, "not set; it names the configuration file")
	}
	raw, err := transient.ReadFile(path)
	if err != nil {
		return PlatformConfig{}, fmt.Errorf("%s: %w", configVariable, err)
	}
	return parsePlatform(raw, getenv)
}

// KillDelay is how long after SIGTERM the platform kills the process at the earliest.
func (p PlatformConfig) KillDelay() time.Duration {
	var longest time.Duration
	for _, class := range p.Settings.Classes {
		longest = max(longest, time.Duration(class.Deadline))
	}
	return min(longest, maxKillDeadline) + killGrace
}

// Reload reads the file again for a running process. The variables are as old as the process, so the file's discovery
// address holds now. On an error the receiver is returned unchanged.
func (p PlatformConfig) Reload(getenv func(string) string) (PlatformConfig, error) {
	next, err := ReadPlatform(func(key string) string {
		if key == discoveryVariable {
			return ""
		}
		return getenv(key)
	})
	if err != nil {
		return p, err
	}
	for _, fixed := range []struct{ key, old, new string }{
		{"name", p.Name, next.Name},
		{"listen", p.Listen, next.Listen},
		{"console", p.Console, next.Console},
	} {
		if fixed.old != fixed.new {
			return p, keyError(fixed.key, "cannot change from %q to %q while the program runs", fixed.old, fixed.new)
		}
	}
	return next, nil
}

// parsePlatform decodes the file, applies the variables, and validates the result.
func parsePlatform(raw []byte, getenv func(string) string) (PlatformConfig, error) {
	var file struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Console    string          `json:"console"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return PlatformConfig{}, fmt.Errorf("configuration file: %w", err)
	}
	p := PlatformConfig{
		Name:           file.Name,
		Listen:         file.Listen,
		Discovery:      file.Discovery,
		Console:        file.Console,
		Limits:         file.Limits,
		PeerListen:     file.PeerListen,
		AllPeers:       file.PeersAll,
		Peers:          file.Peers,
		KnownEndpoints: file.Known,
	}
	p.applyVariables(getenv)
	err := firstError(
		p.validateAddresses,
		func() error { return p.parseListenerFD(getenv(listenerVariable)) },
		func() error { return p.parseSeed(file.Seed) },
		p.Limits.complete,
		func() error { return p.parseSettings(file.Settings) },
	)
	return p, err
}

// applyVariables overrides keys of the file by the variables that are set.
func (p *PlatformConfig) applyVariables(getenv func(string) string) {
	for variable, field := range map[string]*string{
		nameVariable:      &p.Name,
		listenVariable:    &p.Listen,
		discoveryVariable: &p.Discovery,
		consoleVariable:   &p.Console,
	} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

func (p *PlatformConfig) validateAddresses() error {
	if p.Name == "" {
		return keyError("name", "missing")
	}
	if err := validateHostPort("listen", p.Listen); err != nil {
		return err
	}
	if err := validateHostPort("discovery", p.Discovery); err != nil {
		return err
	}
	if p.Console == "" {
		return nil
	}
	return validateHostPort("console", p.Console)
}

func (p *PlatformConfig) parseListenerFD(text string) error {
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return keyError(listenerVariable, "%q is no descriptor from %d on", text, firstInheritedFD)
	}
	p.ListenerFD = fd
	return nil
}

func (p *PlatformConfig) parseSeed(text string) error {
	if text == "" {
		return nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return keyError("seed", "%q is not a hex number of at most 16 digits", text)
	}
	p.Seed = int64(seed)
	return nil
}

func (p *PlatformConfig) parseSettings(raw json.RawMessage) error {
	var err error
	if p.Settings, p.Names, err = DecodeSettings(raw); err != nil {
		return err
	}
	if len(p.Settings.Classes) == 0 {
		return keyError("settings.classes", "at least one class is needed")
	}
	if p.Names.IdleTimeout <= 0 {
		p.Names.IdleTimeout = defaultIdleTimeout
	}
	if p.Names.DialTimeout <= 0 {
		p.Names.DialTimeout = defaultDialTimeout
	}
	return nil
}
