package lab

import (
	"fmt"
	"math"
	"slices"

	"standpoint"
	"standpoint/internal/lab/emulator"
)

// FaultEvent is a fault that is injected into backends at a virtual time.
type FaultEvent struct {
	At       float64 // virtual time in seconds
	Command  string  // slow, errors, pause, kill, restart, drain or replace (by a cold backend of the same name)
	Value    float64 // argument of the command; FaultCommands gives its meaning
	Backends []int   // indices of the backends; empty means all
}

// FaultCommands are the commands of fault events, with the meaning of their value.
var FaultCommands = map[string]string{"slow": "factor on the duration of the steps",
	"errors": "share of requests that fail", "pause": "seconds", "kill": "",
	"restart": "", "drain": "", "replace": ""}

// Trial is one run of a setup with a schedule of fault events.
type Trial struct {
	Setup    Setup
	Events   []FaultEvent
	Settle   float64 // seconds at the start that are not measured
	Duration float64 // seconds that are measured after them
}

// Outcome has the results of a trial. Times are in seconds.
type Outcome struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"asked"`
	// Service is the weight of the requests that met their objectives over the offered weight.
	Service    float64 `json:"service"`
	MinService float64 `json:"least_10_s"` // lowest service of any 10 s
	TTFT50     float64 `json:"first_50"`   // median time to first token
	TTFT99     float64 `json:"first_99"`   // 99th percentile of the time to first token
	// RejectionRatio is the number of rejections over that of requests; rejections of retries count as well.
	RejectionRatio float64 `json:"turned_down"`
	ExtraAttempts  float64 `json:"waste"` // attempts beyond one per request, over requests
	// Skew is the standard deviation of the backends' numbers of attempts over their mean.
	Skew     float64        `json:"skew"`
	Breaches map[string]int `json:"breaches,omitempty"` // number of broken rules, by the rule's name
	// Seconds has the results of each second that is measured.
	Seconds []OutcomeSecond `json:"seconds,omitempty"`
}

// OutcomeSecond has the results for the requests that arrived in one second.
type OutcomeSecond struct {
	OfferedWeight     float64 `json:"Asked"`
	OnTimeWeight      float64 `json:"InTime"`  // weight of the requests that met their objectives
	TTFT99            float64 `json:"First99"` // 99th percentile of the time to first token, in seconds
	Rejections        int     `json:"Down"`
	AttemptsByBackend []int   `json:"boxes,omitempty"` // attempts sent in this second
}

// Run runs the trial. The same trial gives the same outcome on every machine.
func (t Trial) Run() Outcome {
	sim := New(t.Setup)
	for _, e := range t.Events {
		sim.At(e.At, func() { sim.applyEvent(e) })
	}
	end := t.Settle + t.Duration
	sim.Run(end + 12)
	o := Outcome{Seed: t.Setup.Seed, Breaches: map[string]int{}}
	for name, n := range sim.breaches {
		o.Breaches[name] = n
	}
	if sim.sendsAfterDrain > 0 {
		o.Breaches["sent to a box that drains"] = sim.sendsAfterDrain
	}
	collapsed := 0
	for _, b := range sim.backends {
		if b.collapsed {
			collapsed++
		}
	}
	if collapsed > 0 {
		o.Breaches["cold boxes pushed over"] = collapsed
	}
	unanswered := 0
	for _, n := range sim.nodes {
		for _, req := range n.openRequests {
			if !req.done && sim.now > req.deadline+1 && req.firstTokenAt == 0 {
				unanswered++
			}
		}
	}
	if unanswered > 0 {
		o.Breaches["requests without an answer"] = unanswered
	}
	o.measure(sim, t.Settle, end)
	return o
}

// measure fills in the results for the requests that arrived between two virtual times, in seconds.
func (o *Outcome) measure(sim *Simulation, from, end float64) {
	offered, onTime := 0.0, 0.0
	var ttfts []float64
	bySecond := map[int][]float64{}
	for i, at := range sim.ttftArrivals {
		if at >= from && at < end {
			ttfts = append(ttfts, sim.ttfts[i])
			bySecond[int(at)] = append(bySecond[int(at)], sim.ttfts[i])
		}
	}
	rejections := 0
	for i := int(from); i < min(len(sim.Seconds), int(end)); i++ {
		s := sim.Seconds[i]
		offered, onTime, rejections, o.Requests = offered+s.OfferedWeight, onTime+s.OnTimeWeight, rejections+s.Shed,
			o.Requests+s.Requests
		second := OutcomeSecond{OfferedWeight: s.OfferedWeight, OnTimeWeight: s.OnTimeWeight, Rejections: s.Shed,
			AttemptsByBackend: s.AttemptsByBackend}
		if ttftsOfSecond := bySecond[i]; len(ttftsOfSecond) > 0 {
			second.TTFT99 = quantile(ttftsOfSecond, 0.99)
		}
		o.Seconds = append(o.Seconds, second)
	}
	o.Service = onTime / max(1, offered)
	o.MinService, _ = service(sim.Seconds, from, end+12)
	if len(ttfts) > 0 {
		o.TTFT50, o.TTFT99 = quantile(ttfts, 0.5), quantile(ttfts, 0.99)
	}
	o.RejectionRatio = float64(rejections) / max(1, float64(o.Requests))
	total := 0
	for _, s := range sim.Seconds {
		total += s.Requests
	}
	o.ExtraAttempts = max(0, float64(sim.attempts)/max(1, float64(total))-1)
	mean, square := 0.0, 0.0
	for _, b := range sim.backends {
		mean += float64(b.Received()) / float64(len(sim.backends))
	}
	for _, b := range sim.backends {
		square += (float64(b.Received()) - mean) * (float64(b.Received()) - mean) / float64(len(sim.backends))
	}
	o.Skew = math.Sqrt(square) / max(1e-9, mean)
}

// applyEvent executes a fault event.
func (sim *Simulation) applyEvent(e FaultEvent) {
	listChanged := false
	for i, b := range sim.backends {
		if len(e.Backends) > 0 && !slices.Contains(e.Backends, i) {
			continue
		}
		switch e.Command {
		case "slow":
			b.SetSlowdown(e.Value)
		case "errors":
			b.SetErrorShare(e.Value)
		case "pause":
			b.Pause(sim.now, sim.now+e.Value)
			sim.scheduleStep(b)
		case "kill":
			sim.failAttempts(b, b.Kill())
		case "restart", "replace":
			sim.failAttempts(b, b.Restart(sim.now))
			b.readyAt, b.state, b.drainedAt, listChanged = sim.clock(), standpoint.Ready, 0, true
		case "drain":
			b.Drain()
			b.state, b.drainedAt, listChanged = standpoint.Draining, sim.now+sim.ListDelay, true
		}
	}
	if listChanged {
		sim.publishList()
	}
}

// CheckEvents checks the fault events for a fleet of that many backends. Errors name the key.
func CheckEvents(all []FaultEvent, backends int) error {
	for i, e := range all {
		if _, ok := FaultCommands[e.Command]; !ok {
			return fmt.Errorf("event[%d].do: unknown command %q", i, e.Command)
		}
		if e.At < 0 {
			return fmt.Errorf("event[%d].at: %g s is negative", i, e.At)
		}
		if e.Command == "slow" && !(e.Value >= 0.01 && e.Value <= 1000) ||
			e.Command == "errors" && !(e.Value >= 0 && e.Value <= 1) ||
			e.Command == "pause" && !(e.Value > 0 && e.Value <= 3600) {
			return fmt.Errorf("event[%d].value: %g is out of range for %s (%s)", i, e.Value, e.Command,
				FaultCommands[e.Command])
		}
		for _, b := range e.Backends {
			if b < 0 || b >= backends {
				return fmt.Errorf("event[%d].boxes: %d is not from 0 to %d", i, b, backends-1)
			}
		}
	}
	return nil
}

// Capacity returns what a warm backend of the given kind can serve under the operators' workload, in requests per
// second.
func Capacity(parameters emulator.Parameters) float64 {
	return parameters.MaxRate(700, 1500, 105, 0.05)
}
