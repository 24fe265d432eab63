package endpoints

import (
	"fmt"
	"math"
	"slices"
	"time"

	"standpoint"
)

// Bounds of what an endpoint may have, whichever source lists it.
const (
	maxSize   = 1e6 // in the list's own unit of capacity
	maxBornMS = math.MaxInt64 / int64(time.Millisecond)
)

// modeBatch marks an endpoint that takes files of requests instead of streams.
const modeBatch = "batch"

// Names translates the zones and kinds of a list into the decision module's indexes: a name's index is its position.
type Names struct{ Zones, Kinds []string }

// healthNames are the names of the decision module's states in lists and TXT records.
var healthNames = []string{standpoint.Ready: "ready", standpoint.Draining: "draining", standpoint.Gone: "gone"}

// parseHealth returns the state that a name of a health stands for; Gone with an error for an unknown one.
func parseHealth(health string) (standpoint.State, error) {
	if i := slices.Index(healthNames, health); i >= 0 {
		return standpoint.State(i), nil
	}
	return standpoint.Gone, fmt.Errorf("unknown health %q", health)
}

// nameAt returns the name at an index; "" if there is none.
func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}
