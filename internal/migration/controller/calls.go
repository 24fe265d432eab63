package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/migration"
)

// maxWait is the maximum time for which a status call waits for a change.
const maxWait = 25 * time.Second

// Routes returns the routes of the control interface for pools and migrations.
func (c *Controller) Routes() []control.Route {
	return []control.Route{
		{Pattern: "GET /v1/pools", Handle: c.callPools},
		{Pattern: "GET /v1/move", Handle: c.callStatus},
		{Pattern: "GET /v1/move/history", Handle: c.callHistory},
		{Pattern: "POST /v1/move/report", Handle: c.callReport},
		{Pattern: "POST /v1/move/{command}", Handle: c.callCommand},
	}
}

// send sends Run a message and waits for the reply.
func send[T any](ctx context.Context, c *Controller, m message, reply chan T) (T, error) {
	var none T
	select {
	case c.mailbox <- m:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (c *Controller) callPools(*http.Request, []byte) (any, error) {
	return c.options.Tracker.Members(time.Now()), nil
}

// callStatus returns the status at once or, with ?wait=10s, when the record changes, but after at most that time.
func (c *Controller) callStatus(r *http.Request, _ []byte) (any, error) {
	ctx := r.Context()
	if text := r.FormValue("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			return nil, &control.Error{
				Code:    control.CodeBadRequest,
				Key:     "wait",
				Message: fmt.Sprintf("%q is no span such as 10s", text),
			}
		}
		if err := c.awaitChange(ctx, min(wait, maxWait)); err != nil {
			return nil, err
		}
	}
	reply := make(chan Status, 1)
	return send(ctx, c, statusRequest{reply}, reply)
}

// awaitChange waits until the followed record changes, for at most the given time.
func (c *Controller) awaitChange(ctx context.Context, wait time.Duration) error {
	reply := make(chan chan struct{}, 1)
	changed, err := send(ctx, c, changeRequest{reply}, reply)
	if err != nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// callHistory returns the migrations that are over, most recent first. Unreadable records are omitted.
func (c *Controller) callHistory(*http.Request, []byte) (any, error) {
	records := []migration.Record{}
	for _, key := range slices.Backward(c.options.Store.List(historyPrefix)) {
		var record migration.Record
		if json.Unmarshal(c.options.Store.Get(key).Data, &record) == nil {
			records = append(records, record)
		}
	}
	return records, nil
}

func (c *Controller) callReport(r *http.Request, body []byte) (any, error) {
	var reports []Report
	if err := control.Decode(body, &reports); err != nil {
		return nil, err
	}
	for _, report := range reports {
		if report.Node == "" || len(report.From.Samples)+len(report.To.Samples) > 2*migration.MaxSamples {
			return nil, &control.Error{
				Code:    control.CodeBadRequest,
				Message: "a report without a node, or with too many samples",
			}
		}
	}
	if _, leads := c.options.Store.Leadership(); !leads {
		return nil, c.notLeaderError()
	}
	for _, report := range reports {
		select {
		case c.mailbox <- report:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return struct{}{}, nil
}

func (c *Controller) callCommand(r *http.Request, body []byte) (any, error) {
	request := commandRequest{name: r.PathValue("command"), reply: make(chan commandReply, 1)}
	switch request.name {
	case startCommand, planCommand:
		if err := control.Decode(body, &request.start); err != nil {
			return nil, err
		}
	case string(migration.CommandPause), string(migration.CommandResume), string(migration.CommandUndo):
	default:
		return nil, &control.Error{
			Status:  http.StatusNotFound,
			Code:    control.CodeNotFound,
			Message: request.name + " is nothing that a move can do",
		}
	}
	reply, err := send(r.Context(), c, request, request.reply)
	if err != nil {
		return nil, err
	}
	return reply.record, reply.err
}
