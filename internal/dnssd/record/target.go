package record

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Target is the target of an SRV record (RFC 2782).
type Target struct {
	Priority uint16
	Weight   uint16
	Port     uint16
	Host     string // canonical name
}

// ErrWithdrawn reports that the service is not available at the domain: its SRV target is the root (RFC 2782).
var ErrWithdrawn = errors.New("service not available: its SRV record names the root")

// Choose selects one of an instance's targets according to RFC 2782: among those of the lowest priority, by weight.
// fraction, in the range from 0 to below 1, replaces the random number of the selection; the same value always selects
// the same target.
func Choose(targets []Target, fraction float64) (Target, error) {
	if len(targets) == 0 {
		return Target{}, errors.New("no SRV record")
	}
	if len(targets) == 1 && (targets[0].Host == "." || targets[0].Host == "") {
		return Target{}, ErrWithdrawn
	}
	lowest := lowestPriority(targets)
	totalWeight := 0
	for _, target := range lowest {
		totalWeight += int(target.Weight)
	}
	var chosen Target
	remaining := fraction * float64(totalWeight)
	for _, target := range lowest {
		chosen = target
		remaining -= float64(target.Weight)
		if remaining < 0 {
			break
		}
	}
	if chosen.Port == 0 {
		return Target{}, fmt.Errorf("no port in SRV record with target %s", chosen.Host)
	}
	return chosen, nil
}

// lowestPriority returns the targets with the lowest priority value.
func lowestPriority(targets []Target) (lowest []Target) {
	for _, target := range targets {
		switch {
		case len(lowest) == 0 || target.Priority == lowest[0].Priority:
			lowest = append(lowest, target)
		case target.Priority < lowest[0].Priority:
			lowest = []Target{target}
		}
	}
	return lowest
}

// selectionFraction returns a number in the range from 0 to below 1 that is derived from the name of an instance, and
// so is the same at all nodes.
func selectionFraction(instance string) float64 {
	return float64(xxhash.Sum64String(instance)>>11) / (1 << 53)
}
