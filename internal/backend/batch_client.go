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
	callTimeout  = 5 * time.Second
	maxFileBytes = 64 << 20 // of an output or error file
)

// call sends a small object and reads one. Status 0: no answer came.
func (b *batchBackend) call(method, url string, send, receive any) (int, error) {
	return b.callIf(nil, method, url, send, receive)
}

// callIf is call where may, if not nil, is asked as the first byte is written.
func (b *batchBackend) callIf(mayBegin func() error, method, url string, send, receive any) (int, error) {
	var body []byte
	if send != nil {
		var err error
		if body, err = json.Marshal(send); err != nil {
			return 0, err
		}
	}
	return b.do(mayBegin, method, url, "application/json", body, receive)
}

// do makes a call, once more where a kept connection took nothing of it.
func (b *batchBackend) do(
	mayBegin func() error,
	method, url, contentType string,
	body []byte,
	receive any,
) (status int, err error) {
	for range 1 + maxFreshConnections {
		if status, err = b.doOnce(mayBegin, method, url, contentType, body, receive); !errors.Is(err, errUnusable) {
			break
		}
		b.client.CloseIdleConnections()
	}
	return status, err
}

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
	request.GetBody = nil // no silent resends: a batch must not be made twice
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
	switch to := receive.(type) {
	case nil:
	case *[]byte:
		*to = raw
	default:
		return response.StatusCode, json.Unmarshal(raw, receive)
	}
	return response.StatusCode, nil
}
