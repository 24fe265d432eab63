package backend

import (
	"context"
	"errors"
	"net/http"

	"standpoint"
	"standpoint/internal/node"
)

// requestFaultStatuses are the statuses that find fault with the request itself. Another backend would do the same: the
// request is not retried, and the backend is not blamed for what a client sends.
var requestFaultStatuses = []int{
	http.StatusBadRequest,
	http.StatusRequestEntityTooLarge,
	http.StatusUnprocessableEntity,
}

// notBegunResult is the result of an attempt of which nothing was sent, for a reason that is not its backend's.
func notBegunResult(ctx context.Context) node.Result {
	if ctx.Err() != nil {
		return node.Result{Code: failureCode(ctx, false, nil)}
	}
	return node.Result{Code: standpoint.NotSent}
}

// shortageResult is the result of an attempt that failed for a shortage of this machine: it says nothing of the
// backend.
func shortageResult(written bool) node.Result {
	if written {
		return node.Result{Code: standpoint.ConnectionLost, Local: true}
	}
	return node.Result{Code: standpoint.NotSent}
}

// failureCode is the code of an attempt without a complete answer. An answer that is not readable shows, unlike a lost
// connection, that the backend is there: it is an error of this one request. conn may be nil.
func failureCode(ctx context.Context, written bool, conn *connection) standpoint.OutcomeCode {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, node.ErrNoAnswer):
		return standpoint.NoAnswer
	case errors.Is(cause, node.ErrCancelled), errors.Is(cause, node.ErrClientGone),
		errors.Is(cause, node.ErrHandedBack):
		return standpoint.Cancelled
	case !written:
		return standpoint.NoConnection
	case errors.Is(cause, errNoEvent), conn != nil && conn.isUnreadable():
		return standpoint.ServerError
	}
	return standpoint.ConnectionLost
}
