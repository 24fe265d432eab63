package batch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/batch"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// client is a client of the batch API.
type client struct {
	t   *testing.T
	url string
}

// serve starts a service that accepts requests but does not run batches.
func serve(t *testing.T, n *testpeer.Node, s store.Store, edit func(*batch.Options)) (*batch.Service, *client) {
	t.Helper()
	o := batch.Options{
		Core:               n.Core,
		Store:              s,
		Recoverer:          n.Backends,
		Log:                zap.NewNop(),
		Classes:            testpeer.Names.Classes,
		Tenants:            testpeer.Names.Tenants,
		Fields:             batch.RequestFields{Class: "class", Tenant: "tenant", Session: "session", Prefix: "prefix"},
		Defaults:           batch.RequestFields{Class: "chat", Tenant: "acme", MaxTokens: 64},
		MaxConcurrentLines: 100,
		LineTimeout:        10 * time.Second,
		MaxAttempts:        4,
		MaxFileBytes:       1 << 20,
		MaxTotalFileBytes:  64 << 20,
	}
	if edit != nil {
		edit(&o)
	}
	service := batch.New(o)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, &client{t, server.URL}
}

// run runs a service's batches until the test ends.
func run(t *testing.T, service *batch.Service) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { service.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// start starts a service that runs batches.
func start(t *testing.T, n *testpeer.Node, s store.Store, edit func(*batch.Options)) *client {
	t.Helper()
	service, c := serve(t, n, s, edit)
	run(t, service)
	return c
}

// call sends a request and returns the status of the response. The body is decoded into result if that is not nil, or
// copied unchanged if result is a *string.
func (c *client) call(method, path, body string, result any) int {
	c.t.Helper()
	request, err := http.NewRequest(method, c.url+path, strings.NewReader(body))
	require.NoError(c.t, err)
	return c.do(request, result)
}

// do sends a request as call does.
func (c *client) do(request *http.Request, result any) int {
	c.t.Helper()
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	if text, ok := result.(*string); ok {
		*text = string(raw)
	} else if result != nil {
		require.NoError(c.t, json.Unmarshal(raw, result), string(raw))
	}
	return response.StatusCode
}

// upload uploads an input file and returns the status of the response.
func (c *client) upload(content string, result any) int {
	c.t.Helper()
	contentType, body := testpeer.BatchUpload(content)
	request, err := http.NewRequest(http.MethodPost, c.url+"/v1/files", body)
	require.NoError(c.t, err)
	request.Header.Set("Content-Type", contentType)
	return c.do(request, result)
}

// submit uploads a file and creates a batch for it.
func (c *client) submit(content, window string) batch.Batch {
	c.t.Helper()
	var file batch.File
	require.Equal(c.t, http.StatusOK, c.upload(content, &file))
	const create = `{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":%q}`
	body := fmt.Sprintf(create, file.ID, window)
	var b batch.Batch
	require.Equal(c.t, http.StatusOK, c.call(http.MethodPost, "/v1/batches", body, &b))
	return b
}

// create asks for a batch, and returns the status of the response and its Retry-After.
func (c *client) create(body string) (status int, retryAfter string) {
	c.t.Helper()
	response, err := http.Post(c.url+"/v1/batches", "application/json", strings.NewReader(body))
	require.NoError(c.t, err)
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// wait polls a batch until it is over.
func (c *client) wait(id string, timeout time.Duration) batch.Batch {
	c.t.Helper()
	var b batch.Batch
	require.Eventually(c.t, func() bool {
		return c.call(http.MethodGet, "/v1/batches/"+id, "", &b) == http.StatusOK && b.Status.Terminal()
	}, timeout, 20*time.Millisecond, "batch %+v", &b)
	return b
}

// results returns the results in a file by custom_id, and the number of results.
func (c *client) results(fileID string) (byID map[string]batch.Result, count int) {
	c.t.Helper()
	byID = map[string]batch.Result{}
	if fileID == "" {
		return byID, 0
	}
	var content string
	require.Equal(c.t, http.StatusOK, c.call(http.MethodGet, "/v1/files/"+fileID+"/content", "", &content))
	for text := range strings.Lines(content) {
		var result batch.Result
		require.NoError(c.t, json.Unmarshal([]byte(text), &result))
		byID[result.CustomID] = result
		count++
	}
	return byID, count
}

// inputLines returns an input file with the given number of lines.
func inputLines(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, `{"custom_id":"sheet-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"chat",`+
			`"messages":[{"role":"user","content":"line %d"}]}}`+"\n", i, i)
	}
	return b.String()
}

// succeed is a status function for streamingBackend that never fails.
func succeed(string, int) int { return http.StatusOK }

// streamingBackend starts a backend that streams its responses, with the status that answer returns for each line and
// attempt. It returns its address.
func streamingBackend(t *testing.T, counter *testpeer.AttemptCounter,
	answer func(line string, attempt int) int) string {
	t.Helper()
	return testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Messages []struct{ Content string }
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		line := body.Messages[0].Content
		status := answer(line, counter.Begin(line))
		defer counter.End(line, status == http.StatusOK)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		testpeer.WriteEvent(w, "answer to ")
		testpeer.WriteEvent(w, line)
		testpeer.WriteStreamEnd(w)
	})
}

// batchEndpoint returns the endpoint of a backend that accepts batch files.
func batchEndpoint(name string, server *testpeer.BatchBackend) node.Endpoint {
	endpoint := testpeer.Endpoint(name, server.Address)
	endpoint.Batch = true
	return endpoint
}

// electedStore is a store whose leadership the test controls.
type electedStore struct {
	store.Memory
	term atomic.Uint64 // 0 while another member leads
}

func (s *electedStore) Leadership() (uint64, bool) { return s.term.Load(), s.term.Load() != 0 }

func (s *electedStore) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if s.term.Load() == 0 {
		return 0, store.ErrNotLeader
	}
	return s.Memory.Write(ctx, ops...)
}

// interruptedStore is a store whose write number failAt, counted from 1, reports an error. The write is carried out all
// the same if carriedOut is true.
type interruptedStore struct {
	store.Memory
	failAt     int64
	carriedOut bool
	writes     atomic.Int64
}

func (s *interruptedStore) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if s.writes.Add(1) != s.failAt {
		return s.Memory.Write(ctx, ops...)
	}
	if s.carriedOut {
		_, _ = s.Memory.Write(ctx, ops...)
	}
	return 0, errors.New("store: write interrupted")
}
