// Package config is the one place where configuration is read, checked and given defaults.
// Every error names the faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"standpoint"
	"standpoint/internal/transient"
)

// Defaults and bounds that the platform's file leaves open.
const (
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 100 * time.Millisecond
	maxKillDeadline    = 3 * time.Second // of the longest deadline, what counts for the kill after SIGTERM
	killGrace          = 700 * time.Millisecond
	maxMemoryMB        = 192  // the most that a scored day grants
	maxSockets         = 1024 // likewise
)

// Limits are the bounds of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// PerProcess are the bounds of one of so many processes that share a machine.
func (l Limits) PerProcess(processes int) Limits {
	l.MemoryMB, l.Sockets = l.MemoryMB/processes, l.Sockets/processes
	return l
}

// MaxClientConnections is the clients' part of the descriptors. They hold at most a third for requests; the rest is
// for connections that rest between requests.
func (l Limits) MaxClientConnections() int { return l.Sockets * 58 / 100 }

// MaxRequests is how many flows may be open, each with one connection to a real server at the most.
func (l Limits) MaxRequests() int { return l.Sockets * 33 / 100 }

// MaxBodyBytes is how many bytes of single requests' bodies may be held at once. The heap is kept to six tenths of the memory.
func (l Limits) MaxBodyBytes() int { return l.MemoryMB << 20 / 4 }

// MaxFileBytes is how many bytes the batch front's files may have together: the store keeps them in memory.
func (l Limits) MaxFileBytes() int { return l.MemoryMB << 20 / 4 }

// MaxIdleConnections is how many connections may be kept to one real server between requests.
func (l Limits) MaxIdleConnections() int { return max(2, l.Sockets/100) }

// PlatformConfig is what the platform tells a node.
type PlatformConfig struct {
	Name, Listen, Discovery string
	Console                 string // where staff call; "": nowhere
	ListenerFD              int    // the descriptor of the clients' listening socket, inherited; 0: none is
	Seed                    int64
	Limits                  Limits
	PeerListen, AllPeers    string
	Peers                   []string
	KnownEndpoints          json.RawMessage // the list as last held, in discovery's form
	Settings                standpoint.Settings
	Names                   Names
}

// ReadPlatform reads the platform's variables and the file that PROXY_CONFIG names. A variable wins over
// the file's key of the same meaning.
func ReadPlatform(getenv func(string) string) (PlatformConfig, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return PlatformConfig{}, errors.New("PROXY_CONFIG: not set; it names the configuration file")
	}
	raw, err := transient.ReadFile(path)
	if err != nil {
		return PlatformConfig{}, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return parsePlatform(raw, getenv)
}

// KillDelay is when the platform kills a program at the earliest, after it told it to stop.
func (p PlatformConfig) KillDelay() time.Duration {
	var longest time.Duration
	for _, c := range p.Settings.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return min(longest, maxKillDeadline) + killGrace
}

// Reload reads the file again for a program that runs. What the variables said at its start is as old as the
// program: for all that may change since, the file alone holds.
func (p PlatformConfig) Reload(getenv func(string) string) (PlatformConfig, error) {
	next, err := ReadPlatform(func(key string) string {
		if key == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
	switch {
	case err != nil:
		return p, err
	case next.Name != p.Name:
		return p, fmt.Errorf("name: cannot change from %q to %q while the program runs", p.Name, next.Name)
	case next.Listen != p.Listen:
		return p, fmt.Errorf("listen: cannot change from %q to %q while the program runs", p.Listen, next.Listen)
	case next.Console != p.Console:
		return p, fmt.Errorf("console: cannot change from %q to %q while the program runs", p.Console, next.Console)
	}
	return next, nil
}

func parsePlatform(raw []byte, getenv func(string) string) (PlatformConfig, error) {
	var w struct {
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
	if err := json.Unmarshal(raw, &w); err != nil {
		return PlatformConfig{}, fmt.Errorf("configuration file: %w", err)
	}
	p := PlatformConfig{Name: w.Name, Listen: w.Listen, Discovery: w.Discovery, Console: w.Console, Limits: w.Limits,
		PeerListen: w.PeerListen, Peers: w.Peers, AllPeers: w.PeersAll, KnownEndpoints: w.Known}
	for _, v := range []struct {
		key string
		to  *string
	}{{"PROXY_NAME", &p.Name}, {"PROXY_LISTEN", &p.Listen}, {"PROXY_DISCOVERY", &p.Discovery},
		{"PROXY_CONSOLE", &p.Console}} {
		if s := getenv(v.key); s != "" {
			*v.to = s
		}
	}
	if p.Name == "" {
		return p, errors.New("name: missing")
	}
	for _, v := range []struct{ key, address string }{{"listen", p.Listen}, {"discovery", p.Discovery}, {"console", p.Console}} {
		if v.key == "console" && v.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(v.address); err != nil {
			return p, fmt.Errorf("%s: %q is no host:port address", v.key, v.address)
		}
	}
	if s := getenv("PROXY_SOCKET_FD"); s != "" {
		var err error
		if p.ListenerFD, err = strconv.Atoi(s); err != nil || p.ListenerFD < 3 {
			return p, fmt.Errorf("PROXY_SOCKET_FD: %q is no descriptor from 3 on", s)
		}
	}
	if w.Seed != "" {
		seed, err := strconv.ParseUint(w.Seed, 16, 64)
		if err != nil {
			return p, fmt.Errorf("seed: %q is not a hex number of at most 16 digits", w.Seed)
		}
		p.Seed = int64(seed)
	}
	if err := p.Limits.validate(); err != nil {
		return p, err
	}
	var err error
	if p.Settings, p.Names, err = DecodeSettings(w.Settings); err != nil {
		return p, err
	}
	if len(p.Settings.Classes) == 0 {
		return p, errors.New("settings.classes: at least one class is needed")
	}
	if p.Names.IdleTimeout <= 0 {
		p.Names.IdleTimeout = defaultIdleTimeout
	}
	if p.Names.DialTimeout <= 0 {
		p.Names.DialTimeout = defaultDialTimeout
	}
	return p, nil
}

// validate fills in what is missing: a limit that is not told is taken to be the tightest one granted.
func (l *Limits) validate() error {
	if l.Cores < 0 {
		return fmt.Errorf("limits.cores: %g is negative", l.Cores)
	}
	if l.MemoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: %d is negative", l.MemoryMB)
	}
	if l.Sockets < 0 || l.Sockets > 0 && l.Sockets < 128 {
		return fmt.Errorf("limits.sockets: %d is too few; a node needs 128", l.Sockets)
	}
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = maxMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = maxSockets
	}
	return nil
}
