package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// callTimeout is the maximum duration of one call.
	callTimeout = 5 * time.Second
	// maxFileBytes is the number of bytes after which an output or error file is cut off.
	maxFileBytes = 64 << 20
)

// batchCall is a call to a batch backend.
type batchCall struct {
	method      string
	url         string
	contentType string // of body; empty if there is none
	body        []byte
	// mayBegin is called just before the first byte is written; an error withholds the call. It may be nil.
	mayBegin func() error
	// receive is what the body of the response is decoded into as JSON, or copied to if it is a *[]byte. It may be nil.
	receive any
}

// callError is the error of a call without a usable response.
type callError struct {
	call   string // method and URL
	status int    // status of the response; 0 if there was no complete response
	sent   bool   // the call was written completely
	cause  error  // nil if the status says it all
}

// Error implements error.
func (e *callError) Error() string {
	switch {
	case e.cause == nil:
		return fmt.Sprintf("%s: status %d", e.call, e.status)
	case e.status != 0:
		return fmt.Sprintf("%s: status %d: %v", e.call, e.status, e.cause)
	}
	return fmt.Sprintf("%s: %v", e.call, e.cause)
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// mayHaveTakenEffect reports whether the server may have carried out a call that failed. It is false only if the error
// proves that it did not: the call was not written completely, or the server refused it.
func mayHaveTakenEffect(err error) bool {
	var failed *callError
	if !errors.As(err, &failed) {
		return false // nothing was sent
	}
	return failed.sent && !failed.refused()
}

// refused reports whether the server responded that it did not carry out the call. An internal error or an error of a
// proxy does not say so.
func (e *callError) refused() bool {
	return e.status >= http.StatusMultipleChoices && e.status < http.StatusInternalServerError ||
		e.status == http.StatusServiceUnavailable
}

// isUnsupported reports whether the server responded that it has no such call.
func isUnsupported(err error) bool {
	switch responseStatus(err) {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return true
	}
	return false
}

// responseStatus returns the status of the response to a call that failed; 0 if there was none.
func responseStatus(err error) int {
	var failed *callError
	if !errors.As(err, &failed) {
		return 0
	}
	return failed.status
}

// isServerProcessGone reports whether the error of a call shows that the process that was called before does not run:
// nobody listens at its address.
func isServerProcessGone(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// baseURL returns the beginning of the URLs of a backend.
func baseURL(address string) string { return "http://" + address }

// get makes a call without a body.
func (b *batchBackend) get(url string, receive any) error {
	return b.do(batchCall{method: http.MethodGet, url: url, receive: receive})
}

// do makes a call. It retries on another connection if nothing could be written to a reused one.
func (b *batchBackend) do(call batchCall) error {
	var err error
	for range 1 + maxExtraConnections {
		if err = b.doOnce(call); mayHaveTakenEffect(err) || !errors.Is(err, errUnusable) {
			break
		}
		b.client.CloseIdleConnections()
	}
	return err
}

// doOnce makes a call on one connection. Its error is a *callError.
func (b *batchBackend) doOnce(call batchCall) error {
	failed := &callError{call: call.method + " " + call.url}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var used atomic.Pointer[connection]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*connection); ok {
			conn.begin(len(call.body), call.mayBegin)
			used.Store(conn)
		}
	}})
	request, err := http.NewRequestWithContext(ctx, call.method, call.url, bytes.NewReader(call.body))
	if err != nil {
		failed.cause = err
		return failed
	}
	request.GetBody = nil // prevents retries by the transport: a batch must not be created twice
	if call.contentType != "" {
		request.Header.Set("Content-Type", call.contentType)
	}
	response, err := b.client.Do(request)
	if err != nil {
		conn := used.Load()
		failed.sent = conn != nil && conn.isWritten()
		failed.cause = err
		return failed
	}
	defer response.Body.Close()
	failed.sent = true
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxFileBytes))
	if err != nil {
		failed.cause = err
		return failed
	}
	failed.status = response.StatusCode
	if response.StatusCode/100 != http.StatusOK/100 {
		return failed
	}
	if err := decodeResponse(raw, call.receive); err != nil {
		failed.cause = err
		return failed
	}
	return nil
}

// decodeResponse decodes the body of a response as batchCall.receive describes.
func decodeResponse(raw []byte, receive any) error {
	switch target := receive.(type) {
	case nil:
		return nil
	case *[]byte:
		*target = raw
		return nil
	}
	return json.Unmarshal(raw, receive)
}
