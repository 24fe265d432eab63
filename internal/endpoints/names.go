package endpoints

import (
	"fmt"
	"math"
	"slices"
	"time"

	"standpoint"
)

// Upper bounds of an endpoint's fields, for all sources.
const (
	// maxSize is the maximum size, in the list's own unit of capacity.
	maxSize = 1e6
	// maxBornMS is the latest start, as a Unix time in milliseconds, whose nanoseconds fit into an int64.
	maxBornMS = math.MaxInt64 / int64(time.Millisecond)
)

// modeBatch is the mode of an endpoint that accepts files of requests instead of streaming requests.
const modeBatch = "batch"

// Names maps the names of zones and kinds in a list to the decision module's indexes: a name's index is its position
// in the slice.
type Names struct{ Zones, Kinds []string }

// healthNames are the names of the decision module's states in endpoint lists and TXT records, indexed by state.
var healthNames = []string{standpoint.Ready: "ready", standpoint.Draining: "draining", standpoint.Removed: "gone"}

// parseHealth returns the state with a name in healthNames. For an unknown name it returns standpoint.Removed and an
// error.
func parseHealth(health string) (standpoint.State, error) {
	if i := slices.Index(healthNames, health); i >= 0 {
		return standpoint.State(i), nil
	}
	return standpoint.Removed, fmt.Errorf("unknown health %q", health)
}

// nameAt returns the name at an index, or an empty string if the index is out of range.
func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}
