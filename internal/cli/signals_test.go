package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// standaloneNode is a node process started as the platform starts it, with the deploy file's command and limits.
type standaloneNode struct {
	*exec.Cmd
	listen string
	file   string
	output *processLog
	ended  chan error
}

// startStandalone starts a node with the address of its discovery server and an initial list of one backend. sockets
// limits its file descriptors; settings are added to its settings.
func startStandalone(
	t *testing.T, program, discovery, server string, sockets int, settings map[string]any,
) *standaloneNode {
	node := &standaloneNode{listen: testpeer.FreeAddress(t), file: filepath.Join(t.TempDir(), "config.json"),
		output: &processLog{}, ended: make(chan error, 1)}
	node.configure(t, discovery, server, sockets, settings)
	node.Cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; trap '' HUP; exec %s", sockets, program))
	node.Env = append(os.Environ(), "PROXY_CONFIG="+node.file, "TMPDIR="+t.TempDir())
	node.Stderr = node.output
	require.NoError(t, node.Start())
	go func() { node.ended <- node.Wait() }()
	t.Cleanup(func() {
		_ = node.Process.Kill()
		t.Logf("the process ended: %v", <-node.ended)
	})
	return node
}

// configure writes the node's configuration file, atomically.
func (node *standaloneNode) configure(
	t *testing.T, discovery, server string, sockets int, settings map[string]any,
) {
	known := json.RawMessage(fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[`+
		`{"host":"s","dial":%q,"site":"a","class":"m","health":"ready","share":1}]}`, server))
	config := platformConfig(node.listen, discovery, map[string]any{"known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": sockets}})
	for k, v := range settings {
		config["settings"].(map[string]any)[k] = v
	}
	raw, err := json.Marshal(config)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(node.file+".new", raw, 0o600))
	require.NoError(t, os.Rename(node.file+".new", node.file))
}

func (node *standaloneNode) ready() bool {
	response, err := (&http.Client{Timeout: time.Second,
		Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + node.listen + "/_health")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// scriptedDiscovery is a discovery server that passes each connection to a handler, which may be replaced.
type scriptedDiscovery struct {
	address string
	handler atomic.Pointer[func(net.Conn)]
}

func startScriptedDiscovery(t *testing.T, handle func(net.Conn)) *scriptedDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &scriptedDiscovery{address: l.Addr().String()}
	d.handler.Store(&handle)
	var open sync.WaitGroup
	var mu sync.Mutex
	var all []net.Conn
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
			open.Go(func() {
				defer c.Close()
				(*d.handler.Load())(c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range all {
			c.Close()
		}
		mu.Unlock()
		open.Wait()
	})
	return d
}

func resetConnection(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
func neverRespond(c net.Conn)    { _, _ = io.Copy(io.Discard, c) }
func rejectBusy(c net.Conn) {
	_, _ = http.ReadRequest(bufio.NewReader(c))
	_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// serveList returns a handler that serves the full list of one backend with this health, and never responds to a watch
// for changes.
func serveList(server, health string) func(net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.URL.Query().Get("after") == "9" {
			neverRespond(c)
			return
		}
		body := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[`+
			`{"host":"s","dial":%q,"site":"a","class":"m","health":%q,"share":1}]}`, server, health)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	}
}

// TestADrainBeforeAnUpgradesHandOver checks that a drain that only the first process was notified of is not lost in an
// upgrade. Both processes start with a list in which the backend is ready; discovery reports the drain to the first,
// and does not respond to the second until its third call for the full list. Neither process sends the backend a
// request before, during or after the hand-over, and the second is ready within 6 s.
func TestADrainBeforeAnUpgradesHandOver(t *testing.T) {
	t.Parallel()
	received, stayingReceived := make(chan string, 1000), make(chan string, 1000)
	server := func(to chan<- string) string {
		return testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			to <- r.Header.Get("X-Trace-Id")
			testpeer.WriteEvent(w, "served")
			testpeer.WriteStreamEnd(w)
		})
	}
	p := newPlatform(t, nil)
	list := func(seq int, health string) string {
		host := `{"host":%q,"dial":%q,"site":"a","class":"m","health":%q,"share":1}`
		return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[`+host+`,`+host+`]}`, seq, "leaves", server(received),
			health, "stays", server(stayingReceived), "ready")
	}
	p.known = json.RawMessage(list(1, "ready"))
	drained := strings.Replace(strings.Replace(string(p.known), `"ready"`, `"draining"`, 1), `"seq":1`, `"seq":2`, 1)
	drainSent, watchOpen := make(chan struct{}), make(chan struct{}, 100)
	var fullListCalls atomic.Int32 // calls of the second process for the full list
	d := startScriptedDiscovery(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		switch {
		case err != nil:
		case r.URL.Query().Get("after") == "1": // the first process watches for changes to its initial list
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				len(drained), drained)
			close(drainSent)
		case r.URL.Query().Get("after") == "" && fullListCalls.Add(1) > 2:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				len(drained), drained)
		default:
			watchOpen <- struct{}{}
			neverRespond(c)
		}
	})
	p.discovery = d.address
	first := p.start()
	require.Eventually(t, first.ready, 10*time.Second, 5*time.Millisecond)
	send := func(id string) error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(testpeer.ChatRequest(t, p.listen.Addr().String(), id, "3000m"))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err == nil && !strings.Contains(string(body), "[DONE]") {
			err = fmt.Errorf("%d %s", response.StatusCode, body)
		}
		return err
	}
	require.NoError(t, send("first")) // the first request starts the watch
	<-drainSent
	<-watchOpen // the next watch is open, so the response to the one before has been processed
	time.Sleep(500 * time.Millisecond)
	for len(received) > 0 {
		<-received
	}
	started := time.Now()
	second := p.start()
	for i := 0; !second.ready(); i++ {
		require.NoError(t, send(fmt.Sprint("beside-", i)))
		require.Less(t, time.Since(started), 6*time.Second)
	}
	t.Logf("ready after %v and %d calls", time.Since(started), fullListCalls.Load())
	for i := range 40 { // the operating system gives either process the connections
		require.NoError(t, send(fmt.Sprint("both-", i)))
	}
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	for i := range 40 {
		require.NoError(t, send(fmt.Sprint("after-", i)))
	}
	require.NoError(t, first.Wait())
	require.NoError(t, send("alone"))
	require.Empty(t, received, "requests sent to a server that is draining")
	require.GreaterOrEqual(t, len(stayingReceived), 82)
}

// TestReadyWhateverDiscoveryDoes checks that a process is ready within 10 s of its start even if discovery resets
// connections, never responds or rejects every call, whether lists are requested or pushed.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	program := build(t)
	for name, handle := range map[string]func(net.Conn){"resets connections": resetConnection,
		"never responds": neverRespond, "rejects every call": rejectBusy} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				d := startScriptedDiscovery(t, handle)
				started := time.Now()
				node := startStandalone(t, program, d.address, testpeer.FreeAddress(t), 512,
					map[string]any{"discovery": mode})
				require.Eventually(t, node.ready, 10*time.Second, 10*time.Millisecond, "%s", node.output)
				t.Logf("ready after %v", time.Since(started))
			})
		}
	}
}

// TestIdleClientsWhileDiscoveryIsDown has idle clients, three times as many as the node has file descriptors, connect
// while discovery is down. The node must reserve descriptors for discovery and its backends: within 6 s of discovery's
// return it has the new list, and serves a client with a request from it.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	const sockets = 128
	received := make(chan string, 1000)
	listedBackend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- r.Header.Get("X-Trace-Id")
		testpeer.WriteEvent(w, "old")
		testpeer.WriteStreamEnd(w)
	})
	newBackend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		testpeer.WriteEvent(w, "fresh")
		testpeer.WriteStreamEnd(w)
	})
	for name, sendRequest := range map[string]bool{"without a request": false, "after one request": true} {
		t.Run(name, func(t *testing.T) {
			d := startScriptedDiscovery(t, resetConnection)
			node := startStandalone(t, build(t), d.address, listedBackend, sockets, nil)
			require.Eventually(t, node.ready, 10*time.Second, 10*time.Millisecond, "%s", node.output)
			var idle []net.Conn
			for range 3 * sockets {
				c, err := net.Dial("tcp", node.listen) // the operating system accepts it, whether the node does or not
				require.NoError(t, err)
				idle = append(idle, c)
				if sendRequest {
					_, err = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
					require.NoError(t, err)
				}
			}
			t.Cleanup(func() {
				for _, c := range idle {
					c.Close()
				}
			})
			serveNewList := serveList(newBackend, "ready")
			d.handler.Store(&serveNewList)
			returned := time.Now()
			served := func() bool {
				client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				response, err := client.Do(testpeer.ChatRequest(t, node.listen, fmt.Sprint("t", time.Now().UnixNano()),
					"2500m"))
				if err != nil {
					return false
				}
				defer response.Body.Close()
				body, _ := io.ReadAll(response.Body)
				return strings.Contains(string(body), "fresh")
			}
			require.Eventually(t, served, 6*time.Second, 10*time.Millisecond, "%s", node.output)
			t.Logf("served from the new list %v after discovery returned", time.Since(returned))
			require.NotContains(t, node.output.String(), "too many open files")
		})
	}
}

// TestOverlappingSignals checks that signals may arrive at any time: SIGHUP from the start of the process, then
// SIGTERM and SIGHUP twice while it drains, and both repeatedly until its exit. Requests in flight complete, a request
// on an open connection is still served, and the process exits with status 0.
func TestOverlappingSignals(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}, 100), make(chan struct{})
	server := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		testpeer.WriteEvent(w, "begun")
		started <- struct{}{}
		if r.Header.Get("X-Trace-Id") == "long" {
			<-release
		}
		testpeer.WriteStreamEnd(w)
	})
	d := startScriptedDiscovery(t, serveList(server, "ready"))
	node := startStandalone(t, build(t), d.address, server, 512, nil)
	signal := func(s syscall.Signal) { require.NoError(t, node.Process.Signal(s)) }
	for !node.ready() { // without output it may still be the shell, which has not set its trap
		if node.output.String() != "" {
			signal(syscall.SIGHUP)
		}
		time.Sleep(time.Millisecond)
	}
	long, err := http.DefaultClient.Do(testpeer.ChatRequest(t, node.listen, "long", "2500m"))
	require.NoError(t, err)
	defer long.Body.Close()
	<-started
	idleConn, err := net.Dial("tcp", node.listen)
	require.NoError(t, err)
	defer idleConn.Close()
	reader := bufio.NewReader(idleConn)
	once := func(id string) *http.Response {
		r := testpeer.ChatRequest(t, node.listen, id, "2500m")
		require.NoError(t, r.Write(idleConn))
		require.NoError(t, idleConn.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(reader, r)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		return response
	}
	require.Equal(t, http.StatusOK, once("before").StatusCode)
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	require.Eventually(t, func() bool { return strings.Contains(node.output.String(), "draining") }, 3*time.Second,
		time.Millisecond)
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	require.Equal(t, http.StatusOK, once("after").StatusCode)
	close(release)
	body, err := io.ReadAll(long.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	// Until its own exit, no signal may end the process.
	for deadline := time.Now().Add(10 * time.Second); ; {
		select {
		case err := <-node.ended:
			require.NoError(t, err, "%s", node.output)
			node.ended <- nil
			return
		default:
			_ = node.Process.Signal(syscall.SIGHUP)
			_ = node.Process.Signal(syscall.SIGTERM)
			require.True(t, time.Now().Before(deadline), "the process does not exit within 10 s")
		}
	}
}
