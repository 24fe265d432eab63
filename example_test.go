package standpoint_test

import (
	"fmt"
	"time"

	"standpoint"
)

// A gateway passes each event to the router, together with the time, and carries out the returned actions.
func Example() {
	router := standpoint.New(standpoint.Settings{
		Gateways: 1, Zones: 1, Kinds: 1, MaxAttempts: 3,
		Classes: []standpoint.Class{{Streamed: true, TTFTObjective: int64(time.Second)}},
	}, 1)
	now := int64(0)
	var actions []standpoint.Action
	actions = router.Handle(now, &standpoint.EngineList{Kind: standpoint.ListFull,
		Engines: []standpoint.Engine{{Name: "10.0.0.1:8000", Size: 1}}}, actions)
	actions = router.Handle(now, &standpoint.Request{ID: 7, Deadline: now + int64(5*time.Second),
		Session: 42, PromptTokens: 900, MaxTokens: 200}, actions)
	for _, a := range actions {
		if a.Kind == standpoint.Send {
			fmt.Printf("send request %d to %s\n", a.Request, a.Engine)
		}
	}
	// Output: send request 7 to 10.0.0.1:8000
}
