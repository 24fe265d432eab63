package backend

import (
	"context"
	"errors"
	"net/http"

	"standpoint"
	"standpoint/internal/node"
)

// requestFaultStatuses are the statuses that say that the request itself is wrong. Another server would say the same: it is not
// sent again, and the server is not blamed for what one client sends.
var requestFaultStatuses = []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}

// notBegunResult is the result of an attempt of which nothing was sent, for a reason that is not its server's.
func notBegunResult(ctx context.Context) node.Result {
	if ctx.Err() != nil {
		return node.Result{Code: failureCode(ctx, false, nil)}
	}
	return node.Result{Code: standpoint.NotSent}
}

// shortageResult is the result of an attempt that failed for want of something on this machine: it says nothing of the server.
func shortageResult(wrote bool) node.Result {
	if wrote {
		return node.Result{Code: standpoint.ConnectionLost, Local: true}
	}
	return node.Result{Code: standpoint.NotSent}
}

// failureCode says how an attempt without a whole answer ended. An answer that cannot be read shows, unlike a lost
// connection, that the server is there: it is an error of this one request.
func failureCode(ctx context.Context, wrote bool, l *connection) standpoint.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, node.ErrNoAnswer):
		return standpoint.NoAnswer
	case errors.Is(cause, node.ErrCancelled), errors.Is(cause, node.ErrClientGone),
		errors.Is(cause, node.ErrHandedBack):
		return standpoint.Cancelled
	case !wrote:
		return standpoint.NoConnection
	case errors.Is(cause, errNoEvent), l != nil && l.isUnreadable():
		return standpoint.ServerError
	}
	return standpoint.ConnectionLost
}
