package batch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/batch"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// client is a client of the batch front.
type client struct {
	t   *testing.T
	url string
}

// serve starts a front that takes files and does not run them.
func serve(t *testing.T, n *testpeer.Node, s store.Store, edit func(*batch.Options)) (*batch.Service, *client) {
	o := batch.Options{Core: n.Core, Store: s, Log: zap.NewNop(), Classes: testpeer.Names.Classes,
		Tenants: testpeer.Names.Tenants, Fields: batch.RequestFields{Class: "class", Tenant: "tenant", Session: "session", Prefix: "prefix"},
		Defaults:           batch.RequestFields{Class: "chat", Tenant: "acme", MaxTokens: 64},
		MaxConcurrentLines: 100, LineTimeout: 10 * time.Second, MaxAttempts: 4, MaxFileBytes: 1 << 20, MaxTotalFileBytes: 64 << 20}
	if edit != nil {
		edit(&o)
	}
	front := batch.New(o)
	server := httptest.NewServer(front.Handler())
	t.Cleanup(server.Close)
	return front, &client{t, server.URL}
}

// open starts a front.
func open(t *testing.T, n *testpeer.Node, s store.Store, edit func(*batch.Options)) *client {
	front, o := serve(t, n, s, edit)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { front.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return o
}

func (o *client) call(method, path string, body string, into any) int {
	r, err := http.NewRequest(method, o.url+path, strings.NewReader(body))
	require.NoError(o.t, err)
	return o.do(r, into)
}

func (o *client) do(r *http.Request, into any) int {
	response, err := http.DefaultClient.Do(r)
	require.NoError(o.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(o.t, err)
	if s, ok := into.(*string); ok {
		*s = string(raw)
	} else if into != nil {
		require.NoError(o.t, json.Unmarshal(raw, into), string(raw))
	}
	return response.StatusCode
}

// upload brings a file.
func (o *client) upload(content string, into any) int {
	kind, body := testpeer.Upload(content)
	r, err := http.NewRequest(http.MethodPost, o.url+"/v1/files", body)
	require.NoError(o.t, err)
	r.Header.Set("Content-Type", kind)
	return o.do(r, into)
}

// submit uploads a file and makes a batch of it.
func (o *client) submit(content, window string) batch.Batch {
	var file batch.File
	require.Equal(o.t, http.StatusOK, o.upload(content, &file))
	var b batch.Batch
	require.Equal(o.t, http.StatusOK, o.call("POST", "/v1/batches", fmt.Sprintf(
		`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":%q}`, file.ID, window), &b))
	return b
}

// wait polls a batch until it is over.
func (o *client) wait(id string, most time.Duration) batch.Batch {
	var b batch.Batch
	require.Eventually(o.t, func() bool {
		return o.call("GET", "/v1/batches/"+id, "", &b) == http.StatusOK && b.Status.Terminal()
	}, most, 20*time.Millisecond, "batch %+v", &b)
	return b
}

// results returns the lines of a file by custom_id, and how many there are.
func (o *client) results(id string) (map[string]batch.Result, int) {
	all, n := map[string]batch.Result{}, 0
	if id == "" {
		return all, 0
	}
	var content string
	require.Equal(o.t, http.StatusOK, o.call("GET", "/v1/files/"+id+"/content", "", &content))
	for text := range strings.Lines(content) {
		var r batch.Result
		require.NoError(o.t, json.Unmarshal([]byte(text), &r))
		all[r.CustomID] = r
		n++
	}
	return all, n
}

func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"sheet-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"chat",`+
			`"messages":[{"role":"user","content":"line %d"}]}}`+"\n", i, i)
	}
	return b.String()
}

// streaming is a real server that streams, and answers each line as run says.
func streaming(t *testing.T, ledger *testpeer.Ledger, run func(line string, try int) int) string {
	return testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Messages []struct{ Content string }
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		name := body.Messages[0].Content
		status := run(name, ledger.Begin(name))
		defer ledger.End(name, status == http.StatusOK)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		testpeer.Event(w, "answer to ")
		testpeer.Event(w, name)
		testpeer.Finish(w)
	})
}

// The payroll office's file: 2,000 lines over two streaming servers and two that take files; one of the
// latter drains halfway, and every seventh line fails the first time that it is tried.
func TestTwoThousandLines(t *testing.T) {
	const n = 2000
	ledger := testpeer.NewLedger()
	run := func(line string, try int) int {
		time.Sleep(time.Millisecond)
		var i int
		fmt.Sscanf(line, "line %d", &i)
		if i%7 == 0 && try == 1 {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	}
	settings := testpeer.Settings()
	settings.Cancel = false
	settings.Kinds = 2
	var drain sync.Once
	var b1 *testpeer.BatchServer
	var told func()
	b1 = testpeer.NewBatchServer(t, ledger, func(line string, try int) int {
		if b1.Waiting() > 1 { // in the middle of a file, however many a slow machine lets come to it
			drain.Do(told)
		}
		return run(line, try)
	})
	b2 := testpeer.NewBatchServer(t, ledger, run)
	entries := []node.Endpoint{testpeer.Entry("s1", streaming(t, ledger, run)),
		testpeer.Entry("s2", streaming(t, ledger, run)), testpeer.Entry("b1", b1.Address), testpeer.Entry("b2", b2.Address)}
	entries[2].Batch, entries[3].Batch = true, true
	entries[2].Kind, entries[3].Kind = 1, 1
	node := testpeer.Start(t, settings, entries...)
	told = func() {
		after := slices.Clone(entries)
		after[2].State = standpoint.Draining
		node.Tell(after...)
		time.Sleep(200 * time.Millisecond) // in the middle of a line, while the cancel comes
	}
	o := open(t, node, store.NewMemory(), nil)
	b := o.submit(lines(n), "10m")
	b = o.wait(b.ID, time.Minute)
	require.Equal(t, batch.Completed, b.Status)
	require.Equal(t, batch.RequestCounts{Total: n, Completed: n}, b.RequestCounts)
	results, written := o.results(b.OutputFileID)
	require.Equal(t, n, written)
	for i := range n {
		name := fmt.Sprintf("line %d", i)
		r := results[fmt.Sprintf("sheet-%d", i)]
		require.NotNil(t, r.Response, name)
		require.Contains(t, string(r.Response.Body), "answer to "+name)
		require.Equal(t, 1, ledger.Answers()[name], name)
	}
	ran1, unrun := b1.Lines()
	ran2, _ := b2.Lines()
	t.Logf("first file server %d lines run and %d left unrun, second %d, streaming servers %d", ran1, unrun, ran2,
		n-ran1-ran2)
	require.Positive(t, unrun, "the drain found lines that had not run")
	require.Positive(t, min(ran1, ran2), "both servers that take files had work")
	require.Equal(t, 1, ledger.Most(), "no line ever has two attempts out")
}

// A file with faults is not run; each fault names its line.
func TestValidationNamesTheLine(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	o := open(t, n, store.NewMemory(), nil)
	good := strings.TrimSuffix(lines(1), "\n")
	b := o.submit(strings.Join([]string{good, "", "{not json", good, strings.Replace(strings.Replace(good, "sheet-0", "s", 1),
		"chat/completions", "embeddings", 1), strings.Replace(strings.Replace(good, "sheet-0", "u", 1), "line 0",
		strings.Repeat("x", 256<<10), 1), `{"custom_id":"v","method":"GET","url":"/v1/chat/completions","body":{}}`,
		`{"custom_id":"w","method":"POST","url":"/v1/chat/completions","body":{"messages":[]}}`}, "\n"), "24h")
	b = o.wait(b.ID, 5*time.Second)
	require.Equal(t, batch.Failed, b.Status)
	got := map[int]string{}
	for _, f := range b.Errors.Data {
		got[f.Line] = f.Code
	}
	require.Equal(t, map[int]string{3: "invalid_json_line", 4: "duplicate_custom_id", 5: "invalid_url", 6: "request_too_large",
		7: "invalid_method", 8: "invalid_request"}, got)
	for path, param := range map[string]string{
		`{"input_file_id":"file-none","endpoint":"/v1/chat/completions","completion_window":"24h"}`:                     "input_file_id",
		fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/x","completion_window":"24h"}`, b.InputFileID):                 "endpoint",
		fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"ever"}`, b.InputFileID): "completion_window",
	} {
		var said string
		require.Equal(t, http.StatusBadRequest, o.call("POST", "/v1/batches", path, &said))
		require.Contains(t, said, fmt.Sprintf(`"param":%q`, param))
	}
}

// A cancel, and the end of the window, leave every line with its one result all the same.
func TestCancelAndExpiry(t *testing.T) {
	ledger := testpeer.NewLedger()
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", streaming(t, ledger, func(string, int) int {
		time.Sleep(50 * time.Millisecond)
		return http.StatusOK
	})))
	o := open(t, n, store.NewMemory(), func(o *batch.Options) { o.MaxConcurrentLines = 2 })
	for _, c := range []struct {
		window string
		cancel bool
		status batch.Status
		code   string
	}{{"1h", true, batch.Cancelled, "batch_cancelled"}, {"1s", false, batch.Expired, "batch_expired"}} {
		b := o.submit(lines(100), c.window)
		if c.cancel {
			before := ledger.Total()
			require.Eventually(t, func() bool { return ledger.Total() > before }, 5*time.Second, time.Millisecond)
			require.Equal(t, http.StatusOK, o.call("POST", "/v1/batches/"+b.ID+"/cancel", "", nil))
		}
		b = o.wait(b.ID, 10*time.Second)
		require.Equal(t, c.status, b.Status)
		done, d := o.results(b.OutputFileID)
		faults, f := o.results(b.ErrorFileID)
		require.Equal(t, 100, d+f)
		require.Equal(t, 100, len(done)+len(faults), "no line twice")
		require.Equal(t, batch.RequestCounts{Total: 100, Completed: d, Failed: f}, b.RequestCounts)
		codes := map[string]bool{}
		for _, r := range faults {
			codes[r.Error.Code] = true
		}
		require.True(t, codes[c.code])
	}
}

// A line that the store has as out is not sent by whoever comes next until its time has passed, and a line
// that has its result, an answer or an error, is not sent at all.
func TestRestartWaitsForLinesThatWereOut(t *testing.T) {
	ledger := testpeer.NewLedger()
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", streaming(t, ledger, func(string, int) int { return http.StatusOK })))
	keys := store.NewMemory()
	until := time.Now().Add(1500 * time.Millisecond)
	_, first := serve(t, n, keys, nil) // takes the file, and dies before it runs all of it
	b := first.submit(lines(4), "1h")
	for i, state := range []string{`{"state":"out","until":%d,"tries":1}`, `{"state":"completed","tries":1}`, `{"state":"failed","tries":1}`} {
		data := state
		if i == 0 {
			data = fmt.Sprintf(state, until.UnixMilli())
		}
		_, err := keys.Write(t.Context(), store.Op{Key: fmt.Sprintf("line/%s/%06d", b.ID, i), Data: []byte(data)})
		require.NoError(t, err)
	}
	_, err := keys.Write(t.Context(), store.Op{Key: fmt.Sprintf("result/%s/%06d", b.ID, 1),
		Data: []byte(`{"id":"x","custom_id":"sheet-1","response":{"status_code":200,"request_id":"r","body":{}},"error":null}`)}, store.Op{Key: fmt.Sprintf("result/%s/%06d", b.ID, 2),
		Data: []byte(`{"id":"y","custom_id":"sheet-2","response":null,"error":{"code":"server_error","message":"m"}}`)})
	require.NoError(t, err)
	second := open(t, n, keys, nil)
	require.Eventually(t, func() bool { return ledger.Total() == 1 }, time.Second, time.Millisecond)
	b = second.wait(b.ID, 10*time.Second)
	require.False(t, time.Now().Before(until))
	require.Equal(t, batch.RequestCounts{Total: 4, Completed: 3, Failed: 1}, b.RequestCounts)
	require.Equal(t, map[string]int{"line 0": 1, "line 3": 1}, ledger.Sent())
}

// elected is a store whose member leads by turns.
type elected struct {
	store.Memory
	term atomic.Uint64 // 0: another leads
}

func (e *elected) Leadership() (uint64, bool) { return e.term.Load(), e.term.Load() != 0 }

func (e *elected) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if e.term.Load() == 0 {
		return 0, store.ErrNotLeader
	}
	return e.Memory.Write(ctx, ops...)
}

// A sender that loses leadership ends its attempts at once, even a stream that has begun, and writes no
// result; whoever leads next waits until the time that the store names.
func TestLostLeadershipEndsAttempts(t *testing.T) {
	ledger := testpeer.NewLedger()
	begun, ended := make(chan struct{}), make(chan time.Time, 1)
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		try := ledger.Begin("line 0")
		defer ledger.End("line 0", try > 1)
		testpeer.Event(w, "half")
		if try == 1 {
			close(begun)
			<-r.Context().Done()
			ended <- time.Now()
			return
		}
		testpeer.Finish(w)
	})))
	keys := &elected{Memory: store.NewMemory()}
	keys.term.Store(1)
	o := open(t, n, keys, func(o *batch.Options) { o.LineTimeout = 2 * time.Second })
	sent := time.Now()
	b := o.submit(lines(1), "1h")
	<-begun
	lost := time.Now()
	keys.term.Store(0)
	require.Less(t, (<-ended).Sub(lost), 500*time.Millisecond)
	keys.term.Store(2)
	b = o.wait(b.ID, 10*time.Second)
	require.Greater(t, time.Since(sent), 2*time.Second)
	require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
	require.Equal(t, 2, ledger.Sent()["line 0"])
	require.Equal(t, 1, ledger.Most())
}

// broken is a store that takes one write, the at-th, badly: it does nothing and says so, or does it and says that it did
// not.
type broken struct {
	store.Memory
	at      int64
	carried bool
	done    atomic.Int64
}

func (b *broken) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if b.done.Add(1) != b.at {
		return b.Memory.Write(ctx, ops...)
	}
	if b.carried {
		_, _ = b.Memory.Write(ctx, ops...)
	}
	return 0, errors.New("store: the write broke off")
}

// Whichever write of a batch breaks off, carried out or not, every line gets its one result, and no line has two
// attempts out at once.
func TestEveryWriteOfABatchMayBreakOff(t *testing.T) {
	for _, carried := range []bool{false, true} {
		for at := int64(4); at <= 12; at++ { // the first three are the client's: its file, and the batch
			t.Run(fmt.Sprintf("%d %v", at, carried), func(t *testing.T) {
				t.Parallel()
				ledger := testpeer.NewLedger()
				n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", streaming(t, ledger, func(string, int) int { return http.StatusOK })))
				keys := &broken{Memory: store.NewMemory(), at: at, carried: carried}
				o := open(t, n, keys, func(o *batch.Options) { o.LineTimeout = time.Second })
				b := o.wait(o.submit(lines(2), "1h").ID, 15*time.Second)
				require.Equal(t, batch.Completed, b.Status)
				require.Equal(t, batch.RequestCounts{Total: 2, Completed: 2}, b.RequestCounts)
				_, written := o.results(b.OutputFileID)
				require.Equal(t, 2, written)
				require.Equal(t, 1, ledger.Most())
				require.LessOrEqual(t, ledger.Total(), 3, "one line at the most was sent again")
			})
		}
	}
}

// An upload that breaks off in the store, or with the member that took it, leaves no file that can be seen, and nothing
// else once somebody leads again.
func TestUploadsThatBreakOff(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	keys := &broken{Memory: store.NewMemory(), at: 2}
	front, o := serve(t, n, keys, func(o *batch.Options) { o.MaxFileBytes = 8 << 20 })
	content := lines(5000) // three pieces
	require.Equal(t, http.StatusServiceUnavailable, o.upload(content, nil))
	require.Empty(t, keys.List(""))
	// A member that dies in the middle: its pieces stand, and no record of the file.
	_, err := keys.Memory.Write(t.Context(), store.Op{Key: "data/file-torn/000000", Data: []byte("half")})
	require.NoError(t, err)
	var file batch.File
	require.Equal(t, http.StatusOK, o.upload(content, &file))
	require.Equal(t, http.StatusNotFound, o.call("GET", "/v1/files/file-torn/content", "", nil))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go front.Run(ctx)
	require.Eventually(t, func() bool { return keys.Get("data/file-torn/000000").Version == 0 }, 5*time.Second, time.Millisecond)
	var back string
	require.Equal(t, http.StatusOK, o.call("GET", "/v1/files/"+file.ID+"/content", "", &back))
	require.Equal(t, content, back, "a whole one stays")
}

// A batch whose input is not whole fails, and says so; it does not stand for ever.
func TestInputThatIsNotWhole(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	keys := store.NewMemory()
	_, o := serve(t, n, keys, nil)
	b := o.submit(lines(1), "1h")
	_, err := keys.Write(t.Context(), store.Op{Key: "data/" + b.InputFileID + "/000000", ExpectedVersion: store.AnyVersion})
	require.NoError(t, err)
	b = open(t, n, keys, nil).wait(b.ID, 5*time.Second)
	require.Equal(t, batch.Failed, b.Status)
	require.Contains(t, b.Errors.Data[0].Message, "not whole")
}

// Files that nobody deletes do not fill the store: from a bound on no further one is taken until some are deleted. The
// lines of a batch that is over are not kept besides its files.
func TestFilesThatNobodyDeletes(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", streaming(t, testpeer.NewLedger(), func(string, int) int { return http.StatusOK })))
	keys := store.NewMemory()
	o := open(t, n, keys, func(o *batch.Options) { o.MaxTotalFileBytes = 4 << 10 })
	b := o.wait(o.submit(lines(2), "1h").ID, 10*time.Second)
	require.Eventually(t, func() bool { return len(keys.List("line/"))+len(keys.List("result/")) == 0 }, 5*time.Second, time.Millisecond)
	_, written := o.results(b.OutputFileID)
	require.Equal(t, 2, written)
	var file batch.File
	taken := 0
	for ; o.upload(strings.Repeat("x", 1<<10), &file) == http.StatusOK; taken++ {
		require.Less(t, taken, 4)
	}
	var said string
	require.Equal(t, http.StatusInsufficientStorage, o.upload(strings.Repeat("x", 1<<10), &said))
	require.Contains(t, said, "delete some")
	require.Equal(t, http.StatusOK, o.call("DELETE", "/v1/files/"+b.OutputFileID, "", nil))
	require.Equal(t, http.StatusOK, o.call("DELETE", "/v1/files/"+b.InputFileID, "", nil))
	require.Equal(t, http.StatusOK, o.upload(strings.Repeat("x", 100), nil))
}

// A line whose time runs out at a server that takes files is not sent again before that server has said that it is over.
func TestALineThatCannotBeCalledBack(t *testing.T) {
	t.Parallel()
	ledger := testpeer.NewLedger()
	settings := testpeer.Settings()
	settings.Cancel = false
	server := testpeer.NewBatchServer(t, ledger, func(_ string, try int) int {
		if try == 1 {
			time.Sleep(2500 * time.Millisecond) // longer than a line's time: this is what is tested
		}
		return http.StatusOK
	})
	entry := testpeer.Entry("b", server.Address)
	entry.Batch = true
	o := open(t, testpeer.Start(t, settings, entry), store.NewMemory(), func(o *batch.Options) { o.LineTimeout = time.Second })
	b := o.wait(o.submit(lines(1), "1h").ID, 20*time.Second)
	require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
	require.Equal(t, 2, ledger.Sent()["line 0"])
	require.Equal(t, 1, ledger.Most())
}
