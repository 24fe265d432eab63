package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/endpoints"
)

const (
	defaultWatchInterval = 250 * time.Millisecond
	minWatchInterval     = 50 * time.Millisecond
)

// ChangeKind says how an endpoint changed.
type ChangeKind string

// The values of ChangeKind.
const (
	EndpointListed  ChangeKind = "there" // listed when the watch starts
	EndpointNew     ChangeKind = "new"
	EndpointChanged ChangeKind = "changed"
	EndpointRemoved ChangeKind = "gone"
)

// EndpointChange is one change that entries watch prints.
type EndpointChange struct {
	At       time.Time        `json:"at"`
	Kind     ChangeKind       `json:"what"`
	Endpoint endpoints.Origin `json:"entry"`
}

// String implements fmt.Stringer.
func (c EndpointChange) String() string {
	line := fmt.Sprintf("%s %-7s %s", c.At.Format("15:04:05.000"), c.Kind, c.Endpoint.Name)
	switch {
	case c.Kind == EndpointRemoved:
		return line
	case c.Endpoint.Fault != "":
		return line + ", left out: " + c.Endpoint.Fault
	}
	return line + fmt.Sprintf(" %s at %s, by %s", formatState(c.Endpoint), c.Endpoint.Address,
		orDash(c.Endpoint.Mechanism))
}

func (o *options) endpointsWatchCommand() *cobra.Command {
	var interval time.Duration
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print every change of the entries as it is observed, until Ctrl-C",
		Long: `Prints a line for each entry that is added or removed, or that changes its address, its state, the mechanism
that reports its updates, or the reason why it is left out. With -o json a JSON object is printed for each change.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return o.watchEndpoints(c.Context(), interval) },
	}
	c.Flags().DurationVar(&interval, "every", defaultWatchInterval, "interval between two polls, at least 50ms")
	return c
}

// watchEndpoints prints changes of the endpoints until ctx ends. It polls the daemon every interval.
func (o *options) watchEndpoints(ctx context.Context, interval time.Duration) error {
	if interval < minWatchInterval {
		return exitError{InvalidUsage, fmt.Errorf("--every: %v is shorter than %v", interval, minWatchInterval)}
	}
	known := map[string]endpoints.Origin{}
	for first := true; ; first = false {
		all, err := o.origins(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		for _, change := range endpointChanges(known, all, first) {
			if err := o.print(change, func() { fmt.Fprintln(o.Out, change) }); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// endpointChanges returns the differences between known and the list all, and updates known to match the list. With
// first set, every endpoint is reported as EndpointListed.
func endpointChanges(known map[string]endpoints.Origin, all []endpoints.Origin, first bool) []EndpointChange {
	now := time.Now()
	var changes []EndpointChange
	listed := map[string]bool{}
	for _, e := range all {
		listed[e.Name] = true
		old, isKnown := known[e.Name]
		known[e.Name] = e
		switch {
		case first:
			changes = append(changes, EndpointChange{now, EndpointListed, e})
		case !isKnown:
			changes = append(changes, EndpointChange{now, EndpointNew, e})
		case !sameEndpoint(old, e):
			changes = append(changes, EndpointChange{now, EndpointChanged, e})
		}
	}
	for name, e := range known {
		if !listed[name] {
			delete(known, name)
			changes = append(changes, EndpointChange{now, EndpointRemoved, e})
		}
	}
	return changes
}

// sameEndpoint reports whether a and b are equal in the fields whose changes are printed.
func sameEndpoint(a, b endpoints.Origin) bool {
	return a.Address == b.Address && a.State == b.State && a.Fault == b.Fault && a.Mechanism == b.Mechanism &&
		a.StartedAt.Equal(b.StartedAt) && a.Stale == b.Stale
}
