// Package wire translates between the line protocol and the events and actions of package standpoint.
// It decides nothing.
package wire

import (
	"encoding/json"

	"standpoint"
)

// Verbs of the messages that frame a batch or concern a whole instance.
const (
	VerbBatch = "batch"
	VerbEnd   = "overToYou"
	VerbOpen  = "openInstance"
	VerbStop  = "teardown"
)

// Verbs of events.
const (
	verbMembers     = "members"
	verbIncoming    = "incoming"
	verbAttemptEnd  = "attemptEnd"
	verbFirst       = "first"
	verbLeft        = "left"
	verbProbed      = "probed"
	verbMessage     = "message"
	verbDeadlineHit = "deadlineHit"
)

// Message is one decoded line. Event is nil for the framing and instance verbs; Time is a batch's, Seed and Settings
// are an opened instance's.
type Message struct {
	Verb     string
	Node     int
	Time     int64
	Seed     int64
	Settings standpoint.Settings
	Event    standpoint.Event
}

// member is an engine of a list. Its name, like those of line and gauge, is part of the decoder's error texts.
type member struct {
	Engine  string  `json:"engine"`
	Zone    int     `json:"failureDomain"`
	Kind    int     `json:"type"`
	Cell    int     `json:"bay"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"readyAt"`
}

// gauge is an engine's load report.
type gauge struct {
	X0   float64 `json:"x0"`
	X1   float64 `json:"x1"`
	Util float64 `json:"load_share"`
}

// line holds the fields of every verb; pointers are fields that some verb requires.
type line struct {
	Verb         string          `json:"verb"`
	T            *int64          `json:"t"`
	Node         *int            `json:"node"`
	Seed         json.Number     `json:"seed"`
	Settings     json.RawMessage `json:"settings"`
	Kind         string          `json:"kind"`
	Members      []member        `json:"members"`
	Handle       *int64          `json:"handle"`
	Expires      *int64          `json:"expires"`
	SharedPrefix string          `json:"sharedPrefix"`
	TargetKey    string          `json:"targetKey"`
	Realm        int             `json:"realm"`
	NPrompt      float64         `json:"nPrompt"`
	NPrefix      float64         `json:"nPrefix"`
	MaxTokens    float64         `json:"maxTokens"`
	Profile      int             `json:"profile"`
	Again        bool            `json:"again"`
	Retry        bool            `json:"retry"`
	Src          int             `json:"src"`
	Data         string          `json:"data"`
	Engine       string          `json:"engine"`
	Code         string          `json:"code"`
	TimeTaken    int64           `json:"timeTaken"`
	Gauge        *gauge          `json:"gauge"`
	Ctx          *int64          `json:"ctx"`
	Last         bool            `json:"last"`
	Info         float64         `json:"info"`
	Leg          int             `json:"leg"`
}
