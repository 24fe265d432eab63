package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery is the platform's discovery, as the protocol page has it.
type Discovery struct {
	Address string

	mu      sync.Mutex
	seq     int
	hosts   []Host
	changed chan struct{}
}

// StartDiscovery starts a discovery that lists the hosts.
func (c *Case) StartDiscovery(hosts ...Host) *Discovery {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	d := &Discovery{Address: l.Addr().String(), seq: 41, hosts: hosts, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.members)
	go func() { _ = http.Serve(l, mux) }()
	return d
}

func (d *Discovery) members(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		d.write(w, true, d.list())
		return
	}
	d.mu.Lock()
	seq, changed := d.seq, d.changed
	d.mu.Unlock()
	if seq == after {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			d.write(w, false, nil)
			return
		}
	}
	d.write(w, true, d.list())
}

func (d *Discovery) list() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Host{}, d.hosts...)
}

func (d *Discovery) write(w http.ResponseWriter, whole bool, hosts []Host) {
	d.mu.Lock()
	seq := d.seq
	d.mu.Unlock()
	if hosts == nil {
		hosts = []Host{}
	}
	raw, _ := json.Marshal(map[string]any{"seq": seq, "whole": whole, "hosts": hosts})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// Set changes an entry of the list.
func (d *Discovery) Set(name string, change func(*Host)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.hosts {
		if d.hosts[i].Host == name {
			change(&d.hosts[i])
		}
	}
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
}
