package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/batch"
	"standpoint/internal/config"
	"standpoint/internal/edge"
	"standpoint/internal/entries"
	"standpoint/internal/node"
	"standpoint/internal/realserver"
	"standpoint/internal/store"
)

const uploadTime = 2 * time.Minute // of a batch file

// fromPlatform puts the node together as the platform's variables say. The store is one member in memory:
// there is no disk, and datagrams between nodes are lossy and have their price.
func fromPlatform(log *zap.Logger) (*program, error) {
	cfg, err := config.FromPlatform(os.Getenv)
	if err != nil {
		return nil, err
	}
	names := entries.Names{Zones: cfg.Names.Zones, Kinds: cfg.Names.Kinds}
	var seq int64
	known := node.List{Kind: standpoint.ListFull}
	if len(cfg.Known) > 0 {
		if seq, known, err = entries.Decode(cfg.Known, names); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	fleet := realserver.New(realserver.Options{DialTimeout: cfg.Names.DialTimeout, ConnIdle: cfg.Names.ConnIdle,
		MaxIdle: cfg.Limits.IdleLinks(), Log: log})
	p := &program{name: cfg.Name, listen: cfg.Listen, limits: cfg.Limits, killed: cfg.Killed()}
	keys := store.NewMemory()
	keeper := entries.NewKeeper(keys, log)
	news := func(l node.List) {
		keeper.Take(l)
		p.core.News(l)
	}
	watcher := entries.NewWatcher(cfg.Discovery, names, seq, news, log)
	p.core = node.New(node.Options{Settings: cfg.Settings, Seed: cfg.Seed, MaxFlows: cfg.Limits.Flows(),
		Servers: fleet, Entries: watcher, Log: log})
	front := &edge.Front{Core: p.core, Names: cfg.Names, Log: log}
	p.handler = func(life *node.Life) http.Handler {
		front.Life = life
		return front.Handler()
	}
	p.reread = func() (config.Limits, error) {
		next, err := cfg.Reread(os.Getenv)
		if err != nil {
			return cfg.Limits, err
		}
		adjust(fleet, p.core, front, next.Settings, next.Names, next.Limits)
		if next.Discovery != cfg.Discovery || !reflect.DeepEqual(next.Names, cfg.Names) {
			watcher.Move(next.Discovery, entries.Names{Zones: next.Names.Zones, Kinds: next.Names.Kinds})
		}
		cfg = next
		return cfg.Limits, nil
	}
	news(known) // what this node last held; it may be old, and the first watch puts it right
	p.actors = []func(context.Context){p.core.Run, watcher.Run, keeper.Run}
	p.close = keys.Close
	return p, nil
}

// adjust hands new settings to those who work by them.
func adjust(fleet *realserver.Fleet, core *node.Core, front *edge.Front, settings standpoint.Settings,
	names config.Names, limits config.Limits) {
	fleet.Adjust(names.DialTimeout, names.ConnIdle, limits.IdleLinks())
	core.Adjust(settings, limits.Flows())
	front.Rename(names)
}

// fromOperator puts the node together as an operator's file says.
func fromOperator(path string, log *zap.Logger) (*program, error) {
	cfg, err := config.ReadOperator(path)
	if err != nil {
		return nil, err
	}
	keys, err := openStore(cfg, filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	fleet := realserver.New(realserver.Options{DialTimeout: cfg.Names.DialTimeout, ConnIdle: cfg.Names.ConnIdle,
		MaxIdle: cfg.Bounds.IdleLinks(), Log: log, Batch: realserver.BatchOptions{Gather: time.Duration(cfg.BatchServer.Gather),
			Lines: cfg.BatchServer.Lines, Poll: time.Duration(cfg.BatchServer.Poll),
			Lost: time.Duration(cfg.BatchServer.Lost)}})
	p := &program{name: cfg.Name, listen: cfg.Listen, limits: cfg.Bounds, close: keys.Close}
	keeper := entries.NewKeeper(keys, log)
	news := func(l node.List) {
		keeper.Take(l)
		p.core.News(l)
	}
	names := entries.Names{Zones: cfg.Names.Zones, Kinds: cfg.Names.Kinds}
	var source interface {
		node.Entries
		Run(context.Context)
	}
	if cfg.Entries.Source == "dns-sd" {
		source = &entries.Browser{Server: cfg.Entries.Server, Service: cfg.Entries.Service, Domain: cfg.Entries.Domain,
			Refresh: time.Duration(cfg.Entries.Refresh), Names: names, News: news, Log: log}
	} else {
		source = entries.Fixed{List: listed(cfg), News: news}
	}
	p.core = node.New(node.Options{Settings: cfg.Settings, Seed: cfg.Seed, MaxFlows: cfg.Bounds.Flows(),
		Servers: fleet, Entries: source, Log: log})
	if known, ok := keeper.Known(); ok && cfg.Entries.Source != "list" {
		p.core.News(known)
	}
	p.actors = []func(context.Context){p.core.Run, keeper.Run, source.Run}
	single := &edge.Front{Core: p.core, Names: cfg.Names, Log: log}
	front := func(life *node.Life) http.Handler {
		single.Life = life
		return single.Handler()
	}
	p.handler = front
	p.reread = func() (config.Limits, error) {
		next, err := cfg.Reread(path)
		if err != nil {
			return cfg.Bounds, err
		}
		adjust(fleet, p.core, single, next.Settings, next.Names, next.Bounds)
		if next.Entries.Source == "list" {
			news(listed(next))
		}
		cfg = next
		return cfg.Bounds, nil
	}
	if !cfg.Batch.Enabled {
		return p, nil
	}
	members := map[string]string{}
	for _, m := range cfg.Store.Members {
		members[m.ID] = m.Front
	}
	files := batch.New(batch.Options{Core: p.core, Store: keys, Log: log, Classes: cfg.Names.Classes,
		Tenants: cfg.Names.Tenants, Fields: batch.Fields(cfg.Batch.Fields), Defaults: batch.Fields(cfg.Batch.Defaults),
		LinesAtOnce: cfg.Batch.LinesAtOnce, LineTime: time.Duration(cfg.Batch.LineTime), Tries: cfg.Batch.Tries,
		FileMost: cfg.Batch.FileMB << 20, Members: members})
	p.actors = append(p.actors, files.Run, agree(keys, cfg, log))
	p.handler = func(life *node.Life) http.Handler {
		single, batches := front(life), files.Handler()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/v1/files") || strings.HasPrefix(r.URL.Path, "/v1/batches") {
				// A file may take longer than a single request may.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(uploadTime))
				batches.ServeHTTP(w, r)
				return
			}
			single.ServeHTTP(w, r)
		})
	}
	return p, nil
}

func openStore(cfg config.Operator, base string) (store.Store, error) {
	if cfg.Store.Kind == "memory" {
		return store.NewMemory(), nil
	}
	o := store.RaftOptions{ID: cfg.Store.ID, Dir: cfg.Store.Dir}
	if o.Dir != "" && !filepath.IsAbs(o.Dir) {
		o.Dir = filepath.Join(base, o.Dir)
	}
	for _, m := range cfg.Store.Members {
		o.Members = append(o.Members, store.Member{ID: m.ID, Address: m.Address})
		if m.ID == cfg.Store.ID {
			o.Listen = m.Address
		}
	}
	return store.OpenRaft(o)
}

func listed(cfg config.Operator) node.List {
	l := node.List{Kind: standpoint.ListFull}
	index := func(names []string, name string) int {
		for i, n := range names {
			if n == name {
				return i
			}
		}
		return 0
	}
	for _, s := range cfg.RealServers {
		l.Entries = append(l.Entries, node.ServiceEntry{Address: s.Address, Batch: s.Mode == "batch",
			Engine: standpoint.Engine{Name: s.Name, Size: s.Size, Zone: index(cfg.Names.Zones, s.Zone),
				Kind: index(cfg.Names.Kinds, s.Kind)}})
	}
	return l
}
