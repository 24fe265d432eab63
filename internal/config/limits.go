package config

// Defaults of Limits, which are the smallest limits that the platform grants, and the minimum of the sockets.
const (
	defaultCores    = 1    // CPU cores
	defaultMemoryMB = 192  // MiB
	defaultSockets  = 1024 // open sockets

	minSockets = 128 // minimum number of sockets with which a node can serve
)

// Limits bound the resources that a process may use. In a file, 0 stands for the default.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores"`         // CPU cores
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"` // memory in MiB
	Sockets  int     `json:"sockets" toml:"sockets"`     // open sockets
}

// PerProcess returns the limits of each of a node's processes. Memory and sockets are divided; cores are shared.
func (l Limits) PerProcess(processes int) Limits {
	l.MemoryMB /= processes
	l.Sockets /= processes
	return l
}

// MaxClientConnections returns the maximum number of client connections: 58 % of the sockets. At most a third of the
// sockets serve requests (see MaxRequests); the other client connections are idle between requests.
func (l Limits) MaxClientConnections() int { return l.Sockets * 58 / 100 }

// MaxRequests returns the maximum number of open requests, each of which has at most one connection to a backend.
func (l Limits) MaxRequests() int { return l.Sockets * 33 / 100 }

// MaxBodyBytes returns the maximum total size of buffered request bodies, in bytes: a quarter of the memory, while the
// heap is limited to six tenths of it.
func (l Limits) MaxBodyBytes() int { return l.MemoryMB << 20 / 4 }

// MaxPeerBytes returns the maximum memory that clients, backends and discovery may make the process hold, in bytes: a
// third of the memory. The program itself, what the decision module has learned, and what the garbage collector has yet
// to free take the rest.
func (l Limits) MaxPeerBytes() int { return l.MemoryMB << 20 / 3 }

// bulkBytesPerCore is the rate at which a core processes what peers send in bulk, in bytes per second: a part of what it
// could, so that it has time for other work.
const bulkBytesPerCore = 16 << 20

// BulkRate returns the maximum rate at which large requests and fast responses are processed, in bytes per second, and
// how many of these bytes may be processed at once.
func (l Limits) BulkRate() (rate, burst float64) {
	rate = l.Cores * bulkBytesPerCore
	return rate, rate / 4
}

// requestsPerCore is the number of requests per second that a core admits: a part of what it can serve, since streams
// take time after their requests.
const requestsPerCore = 600

// RequestRate returns the maximum number of requests per second that are admitted, and how many of them at once.
func (l Limits) RequestRate() (rate, burst float64) {
	rate = l.Cores * requestsPerCore
	return rate, rate / 2
}

// answersPerCore is the number of requests per second that a core answers without a backend: a part of what it could, so
// that it has time for other work.
const answersPerCore = 1000

// AnswerRate returns the maximum number of requests per second that are answered without a backend, and how many at once,
// before clients that send more of them have to wait.
func (l Limits) AnswerRate() (rate, burst float64) {
	rate = l.Cores * answersPerCore
	return rate, rate / 4
}

// MaxRequestIDs returns the maximum number of IDs of requests that are remembered, each of which takes about 20 bytes.
func (l Limits) MaxRequestIDs() int { return l.MemoryMB << 10 }

// MaxFileBytes returns the maximum total size of the batch API's files, in bytes, since the store keeps them in
// memory.
func (l Limits) MaxFileBytes() int { return l.MemoryMB << 20 / 4 }

// MaxIdleConnections returns the maximum number of idle connections to one backend.
func (l Limits) MaxIdleConnections() int { return max(2, l.Sockets/100) }

// complete validates the limits and then sets the defaults.
func (l *Limits) complete() error {
	switch {
	case l.Cores < 0:
		return keyError("limits.cores", "%g is negative", l.Cores)
	case l.MemoryMB < 0:
		return keyError("limits.memory_mb", "%d is negative", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return keyError("limits.sockets", "%d is less than %d", l.Sockets, minSockets)
	}
	setDefault(&l.Cores, defaultCores)
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Sockets, defaultSockets)
	return nil
}
