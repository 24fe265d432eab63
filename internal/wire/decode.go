package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"standpoint"
	"standpoint/internal/config"
)

// outcomeCodes are the outcomes of attempts by their names on the wire.
var outcomeCodes = func() map[string]standpoint.OutcomeCode {
	codes := map[string]standpoint.OutcomeCode{}
	for c := standpoint.Served; c <= standpoint.NotSent; c++ {
		codes[c.String()] = c
	}
	return codes
}()

// listKinds are the kinds of engine lists by their names on the wire.
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
	"gone":     standpoint.Removed,
}

// Decode decodes one line. Its errors name the verb, and the key that is missing or invalid.
func Decode(text []byte) (Message, error) {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return Message{}, fmt.Errorf("not a valid message: %w", err)
	}
	m := Message{Verb: l.Verb}
	switch l.Verb {
	case VerbBatchEnd:
		return m, nil
	case VerbBatch:
		if l.Time == nil {
			return m, errors.New("batch without t")
		}
		m.Time = *l.Time
		return m, nil
	}
	if l.Node == nil {
		return m, fmt.Errorf("%q without node", l.Verb)
	}
	m.Node = *l.Node
	var err error
	switch l.Verb {
	case VerbTeardown:
	case VerbOpenInstance:
		m.Seed, err = parseSeed(l.Seed)
		if err == nil {
			m.Settings, _, err = config.DecodeSettings(l.Settings)
		}
	default:
		m.Event, err = l.event()
	}
	return m, err
}

// event decodes a line with the verb of an event.
func (l *line) event() (standpoint.Event, error) {
	switch l.Verb {
	case verbEngineList:
		return l.engineList()
	case verbRequest:
		return l.request()
	case verbOutcome:
		return l.outcome()
	case verbFirstToken:
		return l.firstToken()
	case verbClientDisconnected:
		return l.clientDisconnected()
	case verbProbeResult:
		return l.probeResult()
	case verbPeerMessage:
		return &standpoint.PeerMessage{From: l.From, Data: l.Data}, nil
	case verbTimerFired:
		return l.timerFired()
	}
	return nil, fmt.Errorf("unknown verb %q", l.Verb)
}

func (l *line) firstToken() (standpoint.Event, error) {
	if l.RequestID == nil {
		return nil, errors.New("first without handle")
	}
	return &standpoint.FirstToken{Request: *l.RequestID, Attempt: l.Attempt, Elapsed: l.Elapsed}, nil
}

func (l *line) clientDisconnected() (standpoint.Event, error) {
	if l.RequestID == nil {
		return nil, errors.New("left without handle")
	}
	return &standpoint.ClientDisconnected{Request: *l.RequestID}, nil
}

func (l *line) probeResult() (standpoint.Event, error) {
	if l.Engine == "" {
		return nil, errors.New("probed without engine")
	}
	return &standpoint.ProbeResult{
		Engine:  l.Engine,
		OK:      l.Code == standpoint.Served.String(),
		Elapsed: l.Elapsed,
		Report:  l.report(),
	}, nil
}

func (l *line) timerFired() (standpoint.Event, error) {
	if l.TimerToken == nil {
		return nil, errors.New("deadlineHit without ctx")
	}
	return &standpoint.TimerFired{Token: *l.TimerToken}, nil
}

// parseSeed parses a seed of 64 bits, which may be written as a signed or as an unsigned number.
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

// report returns the load report that the line carries; nil if it carries none.
func (l *line) report() *standpoint.Report {
	if l.Report == nil {
		return nil
	}
	return &standpoint.Report{
		MemoryUsage:    l.Report.MemoryUsage,
		PrefillBacklog: l.Report.PrefillBacklog,
		SlotUsage:      l.Report.SlotUsage,
	}
}

// engineList decodes a list of engines.
func (l *line) engineList() (standpoint.Event, error) {
	kind, ok := listKinds[l.Kind]
	if !ok {
		return nil, fmt.Errorf("members of unknown kind %q", l.Kind)
	}
	list := &standpoint.EngineList{Kind: kind}
	for _, m := range l.Engines {
		engine, err := m.engine()
		if err != nil {
			return nil, err
		}
		list.Engines = append(list.Engines, engine)
	}
	return list, nil
}

func (m *member) engine() (standpoint.Engine, error) {
	if m.Name == "" {
		return standpoint.Engine{}, errors.New("members entry without engine")
	}
	state, ok := engineStates[m.State]
	if !ok {
		return standpoint.Engine{}, fmt.Errorf("engine %s in unknown state %q", m.Name, m.State)
	}
	return standpoint.Engine{
		Name:      m.Name,
		Zone:      m.Zone,
		Kind:      m.Kind,
		Cell:      m.Cell,
		State:     state,
		Size:      m.Size,
		StartedAt: m.ReadyAt,
	}, nil
}

// request decodes a request.
func (l *line) request() (standpoint.Event, error) {
	if l.RequestID == nil || l.Deadline == nil {
		return nil, errors.New("incoming without handle or expires")
	}
	session, err := parseKey(l.Session)
	if err != nil {
		return nil, fmt.Errorf("targetKey: %w", err)
	}
	prefix, err := parseKey(l.Prefix)
	if err != nil {
		return nil, fmt.Errorf("sharedPrefix: %w", err)
	}
	return &standpoint.Request{ID: *l.RequestID, Deadline: *l.Deadline, Class: l.Class, Tenant: l.Tenant,
		Session: session, Prefix: prefix, PromptTokens: l.PromptTokens, PrefixTokens: l.PrefixTokens,
		MaxTokens: l.MaxTokens, Retry: l.Retry, Resumed: l.Resumed}, nil
}

// parseKey parses a hash in hexadecimal; an empty string is 0.
func parseKey(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 16, 64)
}

// outcome decodes the end of an attempt.
func (l *line) outcome() (standpoint.Event, error) {
	if l.RequestID == nil {
		return nil, errors.New("attemptEnd without handle")
	}
	code, ok := outcomeCodes[l.Code]
	if !ok {
		return nil, fmt.Errorf("attemptEnd with unknown code %q", l.Code)
	}
	return &standpoint.Outcome{
		Request:      *l.RequestID,
		Attempt:      l.Attempt,
		Last:         l.Last,
		Code:         code,
		CachedTokens: l.CachedTokens,
		Engine:       l.Engine,
		Elapsed:      l.Elapsed,
		Report:       l.report(),
	}, nil
}
