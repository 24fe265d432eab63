package config

// Limits that hold where a configuration names none: the tightest that the platform grants.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 128
)

// Limits bound what a process may use of its machine. In a file, 0 stands for the default.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
}

// PerProcess divides the limits of a node among so many processes. The cores stay shared.
func (l Limits) PerProcess(processes int) Limits {
	l.MemoryMB /= processes
	l.Sockets /= processes
	return l
}

// MaxClientConnections is how many of the sockets clients may hold. At most a third of all sockets serve requests;
// the rest of these connections are idle between requests.
func (l Limits) MaxClientConnections() int { return l.Sockets * 58 / 100 }

// MaxRequests is how many requests may be open, each with at most one connection to a backend.
func (l Limits) MaxRequests() int { return l.Sockets * 33 / 100 }

// MaxBodyBytes is how many bytes of request bodies may be held at once. The heap is kept to six tenths of the memory.
func (l Limits) MaxBodyBytes() int { return l.MemoryMB << 20 / 4 }

// MaxFileBytes is how many bytes the files of the batch API may have together: the store keeps them in memory.
func (l Limits) MaxFileBytes() int { return l.MemoryMB << 20 / 4 }

// MaxIdleConnections is how many connections may be kept to one backend between requests.
func (l Limits) MaxIdleConnections() int { return max(2, l.Sockets/100) }

// complete validates the limits and sets the defaults.
func (l *Limits) complete() error {
	switch {
	case l.Cores < 0:
		return keyError("limits.cores", "%g is negative", l.Cores)
	case l.MemoryMB < 0:
		return keyError("limits.memory_mb", "%d is negative", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return keyError("limits.sockets", "%d is too few; a node needs %d", l.Sockets, minSockets)
	}
	setDefault(&l.Cores, defaultCores)
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Sockets, defaultSockets)
	return nil
}
