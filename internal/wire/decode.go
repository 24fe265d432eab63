package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"standpoint"
	"standpoint/internal/config"
)

// codes are the results of attempts by their names on the wire.
var codes = func() map[string]standpoint.OutcomeCode {
	all := map[string]standpoint.OutcomeCode{}
	for c := standpoint.Served; c <= standpoint.NotSent; c++ {
		all[c.String()] = c
	}
	return all
}()

// listKinds are the kinds of endpoint lists by their names on the wire.
var listKinds = map[string]standpoint.ListKind{
	"incr":      standpoint.ListDelta,
	"total":     standpoint.ListFull,
	"warm_copy": standpoint.ListFull,
	"lost":      standpoint.ListFailed,
}

// engineStates are the states of engines by their names on the wire.
var engineStates = map[string]standpoint.State{
	"ready":    standpoint.Ready,
	"draining": standpoint.Draining,
	"gone":     standpoint.Gone,
}

// Decode decodes one line. An error names the verb and the key that is missing or wrong.
func Decode(text []byte) (Message, error) {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return Message{}, fmt.Errorf("not a valid message: %w", err)
	}
	m := Message{Verb: l.Verb}
	switch l.Verb {
	case VerbEnd:
		return m, nil
	case VerbBatch:
		if l.T == nil {
			return m, errors.New("batch without t")
		}
		m.Time = *l.T
		return m, nil
	}
	if l.Node == nil {
		return m, fmt.Errorf("%q without node", l.Verb)
	}
	m.Node = *l.Node
	var err error
	switch l.Verb {
	case VerbStop:
	case VerbOpen:
		m.Seed, err = parseSeed(l.Seed)
		if err == nil {
			m.Settings, _, err = config.DecodeSettings(l.Settings)
		}
	default:
		m.Event, err = l.event()
	}
	return m, err
}

// event decodes the verbs of events.
func (l *line) event() (standpoint.Event, error) {
	switch l.Verb {
	case verbMembers:
		return l.members()
	case verbIncoming:
		return l.incoming()
	case verbAttemptEnd:
		return l.outcome()
	case verbFirst:
		return l.firstToken()
	case verbLeft:
		return l.left()
	case verbProbed:
		return l.probed()
	case verbMessage:
		return &standpoint.PeerMessage{From: l.Src, Data: l.Data}, nil
	case verbDeadlineHit:
		return l.timerFired()
	}
	return nil, fmt.Errorf("unknown verb %q", l.Verb)
}

func (l *line) firstToken() (standpoint.Event, error) {
	if l.Handle == nil {
		return nil, errors.New("first without handle")
	}
	return &standpoint.FirstToken{Request: *l.Handle, Attempt: l.Leg, Elapsed: l.TimeTaken}, nil
}

func (l *line) left() (standpoint.Event, error) {
	if l.Handle == nil {
		return nil, errors.New("left without handle")
	}
	return &standpoint.ClientDisconnected{Request: *l.Handle}, nil
}

func (l *line) probed() (standpoint.Event, error) {
	if l.Engine == "" {
		return nil, errors.New("probed without engine")
	}
	return &standpoint.ProbeResult{
		Engine:  l.Engine,
		OK:      l.Code == standpoint.Served.String(),
		Elapsed: l.TimeTaken,
		Report:  l.report(),
	}, nil
}

func (l *line) timerFired() (standpoint.Event, error) {
	if l.Ctx == nil {
		return nil, errors.New("deadlineHit without ctx")
	}
	return &standpoint.TimerFired{Token: *l.Ctx}, nil
}

// parseSeed reads a seed, signed or unsigned, as the same 64 bits.
func parseSeed(n json.Number) (int64, error) {
	if signed, err := strconv.ParseInt(n.String(), 10, 64); err == nil {
		return signed, nil
	}
	unsigned, err := strconv.ParseUint(n.String(), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("openInstance without a whole-number seed: %q", n.String())
	}
	return int64(unsigned), nil
}

// report is the load report that came along; nil if there was none.
func (l *line) report() *standpoint.Report {
	if l.Gauge == nil {
		return nil
	}
	return &standpoint.Report{MemoryUsage: l.Gauge.X0, PrefillBacklog: l.Gauge.X1, SlotUsage: l.Gauge.Util}
}

// members decodes an endpoint list.
func (l *line) members() (standpoint.Event, error) {
	kind, ok := listKinds[l.Kind]
	if !ok {
		return nil, fmt.Errorf("members of unknown kind %q", l.Kind)
	}
	list := &standpoint.EngineList{Kind: kind}
	for _, m := range l.Members {
		engine, err := m.engine()
		if err != nil {
			return nil, err
		}
		list.Engines = append(list.Engines, engine)
	}
	return list, nil
}

func (m *member) engine() (standpoint.Engine, error) {
	if m.Engine == "" {
		return standpoint.Engine{}, errors.New("members entry without engine")
	}
	state, ok := engineStates[m.State]
	if !ok {
		return standpoint.Engine{}, fmt.Errorf("engine %s in unknown state %q", m.Engine, m.State)
	}
	return standpoint.Engine{
		Name:    m.Engine,
		Zone:    m.Zone,
		Kind:    m.Kind,
		Cell:    m.Cell,
		State:   state,
		Size:    m.Nominal,
		ReadyAt: m.ReadyAt,
	}, nil
}

// incoming decodes a request.
func (l *line) incoming() (standpoint.Event, error) {
	if l.Handle == nil || l.Expires == nil {
		return nil, errors.New("incoming without handle or expires")
	}
	session, err := parseKey(l.TargetKey)
	if err != nil {
		return nil, fmt.Errorf("targetKey: %w", err)
	}
	prefix, err := parseKey(l.SharedPrefix)
	if err != nil {
		return nil, fmt.Errorf("sharedPrefix: %w", err)
	}
	return &standpoint.Request{ID: *l.Handle, Deadline: *l.Expires, Class: l.Profile, Tenant: l.Realm,
		Session: session, Prefix: prefix, PromptTokens: l.NPrompt, PrefixTokens: l.NPrefix,
		MaxTokens: l.MaxTokens, Retry: l.Retry, Resumed: l.Again}, nil
}

// parseKey reads a hash in hexadecimal; "" is 0.
func parseKey(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 16, 64)
}

// outcome decodes the end of an attempt.
func (l *line) outcome() (standpoint.Event, error) {
	if l.Handle == nil {
		return nil, errors.New("attemptEnd without handle")
	}
	code, ok := codes[l.Code]
	if !ok {
		return nil, fmt.Errorf("attemptEnd with unknown code %q", l.Code)
	}
	return &standpoint.Outcome{Request: *l.Handle, Attempt: l.Leg, Last: l.Last, Code: code, CachedTokens: l.Info,
		Engine: l.Engine, Elapsed: l.TimeTaken, Report: l.report()}, nil
}
