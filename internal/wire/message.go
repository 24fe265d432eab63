// Package wire translates between a line protocol and the events and actions of package standpoint: each line is one
// JSON object with a verb. It decides nothing.
package wire

import (
	"encoding/json"

	"standpoint"
)

// Verbs of the messages that frame a batch, or that open or stop the instance of a node.
const (
	VerbBatch        = "batch"
	VerbBatchEnd     = "overToYou"
	VerbOpenInstance = "openInstance"
	VerbTeardown     = "teardown"
)

// Verbs of events.
const (
	verbEngineList         = "members"
	verbRequest            = "incoming"
	verbOutcome            = "attemptEnd"
	verbFirstToken         = "first"
	verbClientDisconnected = "left"
	verbProbeResult        = "probed"
	verbPeerMessage        = "message"
	verbTimerFired         = "deadlineHit"
)

// Message is one decoded line.
type Message struct {
	// Verb is the kind of the line.
	Verb string
	// Node is the number of the node; it is not used by the verbs that frame a batch.
	Node int
	// Time is the time of a batch that begins, in nanoseconds.
	Time int64
	// Seed and Settings are those of an instance that is opened.
	Seed     int64
	Settings standpoint.Settings
	// Event is nil for the verbs that frame a batch or concern an instance.
	Event standpoint.Event
}

// member is one entry of an engine list. The names of the types member, line and gauge are part of the texts of
// decoding errors.
type member struct {
	Name    string  `json:"engine"`
	Zone    int     `json:"failureDomain"`
	Kind    int     `json:"type"`
	Cell    int     `json:"bay"`
	State   string  `json:"state"`   // a key of engineStates
	Size    float64 `json:"nominal"` // relative to other engines
	ReadyAt int64   `json:"readyAt"` // in nanoseconds
}

// gauge is an engine's load report; its fields are those of standpoint.Report.
type gauge struct {
	MemoryUsage    float64 `json:"x0"`
	PrefillBacklog float64 `json:"x1"`
	SlotUsage      float64 `json:"load_share"`
}

// line holds the fields of all verbs. Fields that some verb requires are pointers, so that their absence shows. Times
// are in nanoseconds.
type line struct {
	Verb         string          `json:"verb"`
	Time         *int64          `json:"t"`
	Node         *int            `json:"node"`
	Seed         json.Number     `json:"seed"`
	Settings     json.RawMessage `json:"settings"`
	Kind         string          `json:"kind"` // a key of listKinds
	Engines      []member        `json:"members"`
	RequestID    *int64          `json:"handle"`
	Deadline     *int64          `json:"expires"`
	Prefix       string          `json:"sharedPrefix"` // a hash in hexadecimal; empty for none
	Session      string          `json:"targetKey"`    // a hash in hexadecimal; empty for none
	Tenant       int             `json:"realm"`
	PromptTokens float64         `json:"nPrompt"`
	PrefixTokens float64         `json:"nPrefix"`
	MaxTokens    float64         `json:"maxTokens"`
	Class        int             `json:"profile"`
	Resumed      bool            `json:"again"`
	Retry        bool            `json:"retry"`
	From         int             `json:"src"` // ordinal of the gateway that sent Data
	Data         string          `json:"data"`
	Engine       string          `json:"engine"`
	Code         string          `json:"code"` // a key of outcomeCodes
	Elapsed      int64           `json:"timeTaken"`
	Report       *gauge          `json:"gauge"`
	TimerToken   *int64          `json:"ctx"`
	Last         bool            `json:"last"`
	CachedTokens float64         `json:"info"`
	Attempt      int             `json:"leg"`
}
