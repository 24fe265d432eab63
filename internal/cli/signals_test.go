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

// lone is a node as the platform starts it, a process with the deploy file's own command and limits.
type lone struct {
	*exec.Cmd
	listen string
	file   string
	said   *log
	ended  chan error
}

// startLone starts one with a list of its own to begin with, at the discovery; sockets is its limit of descriptors.
func startLone(t *testing.T, program, discovery, server string, sockets int, settings map[string]any) *lone {
	l := &lone{listen: testpeer.FreeAddress(t), file: filepath.Join(t.TempDir(), "config.json"), said: &log{},
		ended: make(chan error, 1)}
	l.configure(t, discovery, server, sockets, settings)
	l.Cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; trap '' HUP; exec %s", sockets, program))
	l.Env = append(os.Environ(), "PROXY_CONFIG="+l.file, "TMPDIR="+t.TempDir())
	l.Stderr = l.said
	require.NoError(t, l.Start())
	go func() { l.ended <- l.Wait() }()
	t.Cleanup(func() {
		_ = l.Process.Kill()
		t.Logf("the process ended: %v", <-l.ended)
	})
	return l
}

func (l *lone) configure(t *testing.T, discovery, server string, sockets int, settings map[string]any) {
	known := json.RawMessage(fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","class":"m","health":"ready","share":1}]}`, server))
	config := platformConfig(l.listen, discovery, map[string]any{"known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": sockets}})
	for k, v := range settings {
		config["settings"].(map[string]any)[k] = v
	}
	raw, err := json.Marshal(config)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(l.file+".new", raw, 0o600))
	require.NoError(t, os.Rename(l.file+".new", l.file))
}

func (l *lone) ready() bool {
	response, err := (&http.Client{Timeout: time.Second,
		Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + l.listen + "/_health")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// moody is a discovery whose manner changes.
type moody struct {
	address string
	manner  atomic.Pointer[func(net.Conn)]
}

func startMoody(t *testing.T, manner func(net.Conn)) *moody {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &moody{address: l.Addr().String()}
	d.manner.Store(&manner)
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
				(*d.manner.Load())(c)
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

func resets(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
func silent(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
func busy(c net.Conn) {
	_, _ = http.ReadRequest(bufio.NewReader(c))
	_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// lists tells the whole list, and has watches wait.
func lists(server, health string) func(net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.URL.Query().Get("after") == "9" {
			silent(c)
			return
		}
		body := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","class":"m","health":%q,"share":1}]}`, server, health)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	}
}

// A server is told to drain, to the process that serves alone: discovery says nothing to the one that is to take over
// until its third call. Both were started with a list in which the server stands ready. Nothing more goes there from
// either, before, in and behind the hand-over, and the new one is ready within 6 s.
func TestADrainBeforeAnUpgradesHandOver(t *testing.T) {
	t.Parallel()
	asked, stays := make(chan string, 1000), make(chan string, 1000)
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
		return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[`+host+`,`+host+`]}`, seq, "leaves", server(asked),
			health, "stays", server(stays), "ready")
	}
	p.known = json.RawMessage(list(1, "ready"))
	drained := strings.Replace(strings.Replace(string(p.known), `"ready"`, `"draining"`, 1), `"seq":1`, `"seq":2`, 1)
	told, held := make(chan struct{}), make(chan struct{}, 100)
	var wholes atomic.Int32 // calls of the new process for the whole list
	d := startMoody(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		switch {
		case err != nil:
		case r.URL.Query().Get("after") == "1": // the first process has the list that it was started with
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				len(drained), drained)
			close(told)
		case r.URL.Query().Get("after") == "" && wholes.Add(1) > 2:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				len(drained), drained)
		default:
			held <- struct{}{}
			silent(c)
		}
	})
	p.discovery = d.address
	first := p.start()
	require.Eventually(t, first.ready, 10*time.Second, 5*time.Millisecond)
	ask := func(id string) error {
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
	require.NoError(t, ask("first")) // the watch is asked for with it
	<-told
	<-held // the next watch stands: the answer before it is taken in
	time.Sleep(500 * time.Millisecond)
	for len(asked) > 0 {
		<-asked
	}
	began := time.Now()
	second := p.start()
	for i := 0; !second.ready(); i++ {
		require.NoError(t, ask(fmt.Sprint("beside-", i)))
		require.Less(t, time.Since(began), 6*time.Second)
	}
	t.Logf("ready after %v and %d calls", time.Since(began), wholes.Load())
	for i := range 40 { // the system gives either of them the connections
		require.NoError(t, ask(fmt.Sprint("both-", i)))
	}
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	for i := range 40 {
		require.NoError(t, ask(fmt.Sprint("after-", i)))
	}
	require.NoError(t, first.Wait())
	require.NoError(t, ask("alone"))
	require.Empty(t, asked, "sent to a server that this node was told is leaving")
	require.GreaterOrEqual(t, len(stays), 82)
}

// A process is ready within 10 s of its start, whatever discovery does, whether lists are pushed or asked for.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	program := build(t)
	for name, manner := range map[string]func(net.Conn){"resets": resets, "is silent": silent,
		"has too many callers": busy} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				d := startMoody(t, manner)
				began := time.Now()
				l := startLone(t, program, d.address, testpeer.FreeAddress(t), 512, map[string]any{"discovery": mode})
				require.Eventually(t, l.ready, 10*time.Second, 10*time.Millisecond, "%s", l.said)
				t.Logf("ready after %v", time.Since(began))
			})
		}
	}
}

// Idle clients, more than there are descriptors, come while discovery is down. The node keeps what it needs to call
// discovery and its servers: once discovery is back it is heard, and a client that has a request is served.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	const sockets = 128
	asked := make(chan string, 1000)
	old := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		asked <- r.Header.Get("X-Trace-Id")
		testpeer.WriteEvent(w, "old")
		testpeer.WriteStreamEnd(w)
	})
	fresh := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		testpeer.WriteEvent(w, "fresh")
		testpeer.WriteStreamEnd(w)
	})
	for name, ask := range map[string]bool{"that say nothing": false, "that asked once": true} {
		t.Run(name, func(t *testing.T) {
			d := startMoody(t, resets)
			l := startLone(t, build(t), d.address, old, sockets, nil)
			require.Eventually(t, l.ready, 10*time.Second, 10*time.Millisecond, "%s", l.said)
			var idle []net.Conn
			for range 3 * sockets {
				c, err := net.Dial("tcp", l.listen) // the system takes it whether the node does or not
				require.NoError(t, err)
				idle = append(idle, c)
				if ask {
					_, err = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
					require.NoError(t, err)
				}
			}
			t.Cleanup(func() {
				for _, c := range idle {
					c.Close()
				}
			})
			back := lists(fresh, "ready")
			d.manner.Store(&back)
			returned := time.Now()
			served := func() bool {
				client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				response, err := client.Do(testpeer.ChatRequest(t, l.listen, fmt.Sprint("t", time.Now().UnixNano()), "2500m"))
				if err != nil {
					return false
				}
				defer response.Body.Close()
				body, _ := io.ReadAll(response.Body)
				return strings.Contains(string(body), "fresh")
			}
			require.Eventually(t, served, 6*time.Second, 10*time.Millisecond, "%s", l.said)
			t.Logf("served by what discovery told %v after its return", time.Since(returned))
			require.NotContains(t, l.said.String(), "too many open files")
		})
	}
}

// SIGTERM, and another, with SIGHUPs between: what is under way ends whole, what still comes on a kept connection is
// answered, and the exit is a good one. SIGHUP from the first moment of a process on ends nothing.
func TestSignalsAcrossEachOther(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}, 100), make(chan struct{})
	server := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		testpeer.WriteEvent(w, "begun")
		came <- struct{}{}
		if r.Header.Get("X-Trace-Id") == "long" {
			<-release
		}
		testpeer.WriteStreamEnd(w)
	})
	d := startMoody(t, lists(server, "ready"))
	l := startLone(t, build(t), d.address, server, 512, nil)
	signal := func(s syscall.Signal) { require.NoError(t, l.Process.Signal(s)) }
	for !l.ready() { // the shell's own first moments, before its trap, are not the program's
		if l.said.String() != "" {
			signal(syscall.SIGHUP)
		}
		time.Sleep(time.Millisecond)
	}
	long, err := http.DefaultClient.Do(testpeer.ChatRequest(t, l.listen, "long", "2500m"))
	require.NoError(t, err)
	defer long.Body.Close()
	<-came
	kept, err := net.Dial("tcp", l.listen)
	require.NoError(t, err)
	defer kept.Close()
	in := bufio.NewReader(kept)
	once := func(id string) *http.Response {
		r := testpeer.ChatRequest(t, l.listen, id, "2500m")
		require.NoError(t, r.Write(kept))
		require.NoError(t, kept.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(in, r)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		return response
	}
	require.Equal(t, http.StatusOK, once("before").StatusCode)
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	require.Eventually(t, func() bool { return strings.Contains(l.said.String(), "draining") }, 3*time.Second,
		time.Millisecond)
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	require.Equal(t, http.StatusOK, once("after").StatusCode)
	close(release)
	body, err := io.ReadAll(long.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	// Up to its very end nothing but its own exit ends it.
	for late := time.Now().Add(10 * time.Second); ; {
		select {
		case err := <-l.ended:
			require.NoError(t, err, "%s", l.said)
			l.ended <- nil
			return
		default:
			_ = l.Process.Signal(syscall.SIGHUP)
			_ = l.Process.Signal(syscall.SIGTERM)
			require.True(t, time.Now().Before(late), "it does not end")
		}
	}
}
