package record

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Target is what one SRV record points to.
type Target struct {
	Priority uint16
	Weight   uint16
	Port     uint16
	Host     string // canonical
}

// ErrWithdrawn reports that an instance is not offered: its target is the root (RFC 2782).
var ErrWithdrawn = errors.New("the service is decidedly not available here: its SRV record names the root")

// Choose chooses one of an instance's targets as RFC 2782 has it: among those of the lowest priority, by weight. draw,
// from 0 up to 1, is the random number of the choice; a caller that passes the same one always has the same target.
func Choose(targets []Target, draw float64) (Target, error) {
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
	remaining := draw * float64(totalWeight)
	for _, target := range lowest {
		chosen = target
		remaining -= float64(target.Weight)
		if remaining < 0 {
			break
		}
	}
	if chosen.Port == 0 {
		return Target{}, fmt.Errorf("the SRV record of %s has no port", chosen.Host)
	}
	return chosen, nil
}

// lowestPriority are the targets that come first.
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

// draw is an instance's random number for Choose, the same at all nodes.
func draw(instance string) float64 { return float64(xxhash.Sum64String(instance)>>11) / (1 << 53) }
