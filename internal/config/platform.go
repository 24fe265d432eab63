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
	defaultIdleTimeout = 15 * time.Second       // default of Names.IdleTimeout
	defaultDialTimeout = 100 * time.Millisecond // default of Names.DialTimeout

	// After SIGTERM the platform waits for the longest deadline of a class, but at most for maxKillDeadline, and then
	// for killGrace, before it kills the process.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond

	firstInheritedFD = 3 // lower descriptors are the standard streams
)

// Environment variables of the platform. They override the keys of the file with the same meaning.
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
	Discovery string // address of the discovery server, the source of the endpoint list
	Console   string // address of the operations console; "" for none
	// ListenerFD is the file descriptor of the client listener inherited from the platform; 0 for none.
	ListenerFD     int
	Seed           int64 // seed of the decision module
	Limits         Limits
	PeerListen     string          // address for datagrams from other nodes; "" for none
	AllPeers       string          // address of all other nodes together
	Peers          []string        // addresses of the other nodes
	KnownEndpoints json.RawMessage // last known endpoint list, in the form of the discovery server
	Settings       standpoint.Settings
	Names          Names
}

// ReadPlatform reads the platform's environment variables and the file that PROXY_CONFIG names.
func ReadPlatform(getenv func(string) string) (PlatformConfig, error) {
	path := getenv(configVariable)
	if path == "" {
		return PlatformConfig{}, keyError(configVariable, "missing; the path of the configuration file is required")
	}
	raw, err := transient.ReadFile(path)
	if err != nil {
		return PlatformConfig{}, fmt.Errorf("%s: %w", configVariable, err)
	}
	return parsePlatform(raw, getenv)
}

// KillDelay returns the minimum time from SIGTERM until the platform kills the process.
func (p PlatformConfig) KillDelay() time.Duration {
	var longest time.Duration
	for _, class := range p.Settings.Classes {
		longest = max(longest, time.Duration(class.Deadline))
	}
	return min(longest, maxKillDeadline) + killGrace
}

// Reload reads the file again for a running process. Environment variables still have the values from the start of the
// process, so the discovery address comes from the file alone. The name and the addresses of the client listener and of
// the console may not change. On an error the receiver is returned unchanged.
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

// parsePlatform decodes the file, applies the environment variables, and validates the result.
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

// applyVariables overrides keys of the file with the environment variables that are set.
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

// parseListenerFD sets ListenerFD from the value of its environment variable.
func (p *PlatformConfig) parseListenerFD(text string) error {
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return keyError(listenerVariable, "%q is not a file descriptor of at least %d", text, firstInheritedFD)
	}
	p.ListenerFD = fd
	return nil
}

// parseSeed sets Seed from a hexadecimal number.
func (p *PlatformConfig) parseSeed(text string) error {
	if text == "" {
		return nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return keyError("seed", "%q is not a hexadecimal number of at most 16 digits", text)
	}
	p.Seed = int64(seed)
	return nil
}

// parseSettings decodes the settings object into Settings and Names, and sets the defaults of Names.
func (p *PlatformConfig) parseSettings(raw json.RawMessage) error {
	var err error
	if p.Settings, p.Names, err = DecodeSettings(raw); err != nil {
		return err
	}
	if len(p.Settings.Classes) == 0 {
		return keyError("settings.classes", "missing; at least one is required")
	}
	if p.Names.IdleTimeout <= 0 {
		p.Names.IdleTimeout = defaultIdleTimeout
	}
	if p.Names.DialTimeout <= 0 {
		p.Names.DialTimeout = defaultDialTimeout
	}
	return nil
}
