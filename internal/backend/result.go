package backend

import (
	"context"
	"errors"
	"net/http"

	"standpoint"
	"standpoint/internal/node"
)

// requestFaultStatuses are the statuses that report a fault of the request itself. Any other backend would respond
// alike, so the request is not retried and does not count as an error of the backend.
var requestFaultStatuses = []int{
	http.StatusBadRequest,
	http.StatusRequestEntityTooLarge,
	http.StatusUnprocessableEntity,
}

// notBegunResult returns the result of an attempt that was not sent, for a reason other than a fault of its backend.
func notBegunResult(ctx context.Context) node.Result {
	if ctx.Err() != nil {
		return node.Result{Code: failureCode(ctx, false, nil)}
	}
	return node.Result{Code: standpoint.NotSent}
}

// shortageResult returns the result of an attempt that failed because this machine ran short of a resource. It says
// nothing about the backend.
func shortageResult(written bool) node.Result {
	if written {
		return node.Result{Code: standpoint.ConnectionLost, Local: true}
	}
	return node.Result{Code: standpoint.NotSent}
}

// failureCode returns the outcome code of an attempt without a complete response. A malformed response, unlike a lost
// connection, shows that the backend is reachable: it counts as an error of this one request. conn may be nil.
func failureCode(ctx context.Context, written bool, conn *connection) standpoint.OutcomeCode {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, node.ErrNoFirstEvent):
		return standpoint.NoAnswer
	case errors.Is(cause, node.ErrCancelled), errors.Is(cause, node.ErrClientDisconnected),
		errors.Is(cause, node.ErrHandedBack):
		return standpoint.Cancelled
	case !written:
		return standpoint.NoConnection
	case errors.Is(cause, errNoFirstEvent), conn != nil && conn.isResponseMalformed():
		return standpoint.ServerError
	}
	return standpoint.ConnectionLost
}
