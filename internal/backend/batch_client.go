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
	"time"
)

const (
	// callTimeout is the maximum duration of one call.
	callTimeout = 5 * time.Second
	// maxFileBytes is the number of bytes after which an output or error file is cut off.
	maxFileBytes = 64 << 20
)

// call sends an object as JSON and decodes the response's body into receive, each unless it is nil. It returns the
// status of the response, or 0 if there was none.
func (b *batchBackend) call(method, url string, send, receive any) (int, error) {
	return b.callChecked(nil, method, url, send, receive)
}

// callChecked is like call, but calls mayBegin, if it is not nil, just before the first byte is written. An error
// withholds the call.
func (b *batchBackend) callChecked(mayBegin func() error, method, url string, send, receive any) (int, error) {
	var body []byte
	if send != nil {
		var err error
		if body, err = json.Marshal(send); err != nil {
			return 0, err
		}
	}
	return b.do(mayBegin, method, url, "application/json", body, receive)
}

// do makes a call, and retries on another connection if a reused one could not be used for it.
func (b *batchBackend) do(
	mayBegin func() error,
	method, url, contentType string,
	body []byte,
	receive any,
) (status int, err error) {
	for range 1 + maxExtraConnections {
		if status, err = b.doOnce(mayBegin, method, url, contentType, body, receive); !errors.Is(err, errUnusable) {
			break
		}
		b.client.CloseIdleConnections()
	}
	return status, err
}

// doOnce makes a call on one connection. The body of the response is decoded into receive, or copied to it if it is a
// *[]byte.
func (b *batchBackend) doOnce(
	mayBegin func() error,
	method, url, contentType string,
	body []byte,
	receive any,
) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if mayBegin != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*connection); ok {
				conn.begin(0, mayBegin)
			}
		}})
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil // prevents retries by the transport: a batch must not be created twice
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxFileBytes))
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	switch target := receive.(type) {
	case nil:
	case *[]byte:
		*target = raw
	default:
		return response.StatusCode, json.Unmarshal(raw, receive)
	}
	return response.StatusCode, nil
}
