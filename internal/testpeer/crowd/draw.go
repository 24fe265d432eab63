package crowd

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// MaxConnections is a few more than a node accepts with 1,024 descriptors.
	MaxConnections = 620
	// minConnections is the least number of connections of a crowd that is drawn.
	minConnections = 100
)

// Draw returns a crowd of random size and behaviors.
func Draw(address string, seed uint64, rng *rand.Rand) *Crowd {
	all := []Behavior{
		SlowHead, ManyFields, ManyFieldsWhole, HalfBody, SlowBody, SlowReader, TooLarge, SmallChunks, Silent, SmallUnsound,
		UnknownNames,
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return &Crowd{
		Address:     address,
		Connections: minConnections + rng.IntN(MaxConnections-minConnections),
		Behaviors:   all[:1+rng.IntN(4)],
		Seed:        seed,
		Reconnect:   time.Duration(50+rng.IntN(300)) * time.Millisecond,
	}
}

// Names returns the names of behaviors.
func Names(behaviors []Behavior) string {
	var names []string
	for _, b := range behaviors {
		names = append(names, b.Name)
	}
	return strings.Join(names, ", ")
}
