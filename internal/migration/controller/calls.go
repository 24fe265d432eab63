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

const maxWait = 25 * time.Second // for news of a move

// Routes are what the control interface offers of moves.
func (a *Controller) Routes() []control.Route {
	return []control.Route{
		{Pattern: "GET /v1/pools", Handle: func(*http.Request, []byte) (any, error) { return a.Tracker.Members(time.Now()), nil }},
		{Pattern: "GET /v1/move", Handle: a.callStatus},
		{Pattern: "GET /v1/move/history", Handle: a.callHistory},
		{Pattern: "POST /v1/move/report", Handle: a.callReport},
		{Pattern: "POST /v1/move/{wish}", Handle: a.callCommand},
	}
}

// call posts a message and waits for its answer.
func call[T any](ctx context.Context, a *Controller, done chan T, m any) (T, error) {
	var none T
	select {
	case a.mailbox <- m:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case v := <-done:
		return v, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// callStatus answers at once, or, with ?wait=10s, when the move has changed since ?version=, or after that time.
func (a *Controller) callStatus(r *http.Request, _ []byte) (any, error) {
	ctx := r.Context()
	done := make(chan Status, 1)
	if text := r.FormValue("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			return nil, &control.Error{Code: "bad_request", Key: "wait", Message: fmt.Sprintf("%q is no span such as 10s", text)}
		}
		heard := make(chan chan struct{}, 1)
		changed, err := call(ctx, a, heard, changeRequest{heard})
		if err != nil {
			return nil, err
		}
		timer := time.NewTimer(min(wait, maxWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return call(ctx, a, done, statusRequest{done})
}

func (a *Controller) callHistory(*http.Request, []byte) (any, error) {
	all := []migration.Record{}
	for _, key := range slices.Backward(a.Store.List(historyPrefix)) {
		var r migration.Record
		if json.Unmarshal(a.Store.Get(key).Data, &r) == nil {
			all = append(all, r)
		}
	}
	return all, nil
}

func (a *Controller) callReport(r *http.Request, body []byte) (any, error) {
	var reports []Report
	if err := control.Decode(body, &reports); err != nil {
		return nil, err
	}
	for _, report := range reports {
		if report.Node == "" || len(report.From.Samples)+len(report.To.Samples) > 2*migration.MaxSamples {
			return nil, &control.Error{Code: "bad_request", Message: "a report without a node, or with too many samples"}
		}
	}
	if _, leads := a.Store.Leadership(); !leads {
		return nil, a.notLeader()
	}
	for _, report := range reports {
		select {
		case a.mailbox <- report:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return struct{}{}, nil
}

func (a *Controller) callCommand(r *http.Request, body []byte) (any, error) {
	w := commandRequest{name: r.PathValue("wish"), done: make(chan commandReply, 1)}
	switch w.name {
	case "start", "plan":
		if err := control.Decode(body, &w.start); err != nil {
			return nil, err
		}
	case "pause", "resume", "undo":
	default:
		return nil, &control.Error{Status: http.StatusNotFound, Code: "not_found", Message: w.name + " is nothing that a move can do"}
	}
	got, err := call(r.Context(), a, w.done, w)
	if err != nil {
		return nil, err
	}
	return got.record, got.err
}
