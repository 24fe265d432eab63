package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/settings"
	"standpoint/internal/store"
)

const (
	currentKey           = "settings/current"
	versionsKey          = "settings/version/"
	settingsPollInterval = 150 * time.Millisecond
	settingsTimeout      = 10 * time.Second // for a check, or for a version to be taken on here
)

// settingsRequest is a shared document that is to be checked or taken on.
type settingsRequest struct {
	text   string
	dryRun bool
	result chan error
}

// SettingsStatus is what a node says of the shared configuration.
type SettingsStatus struct {
	Node     string           `json:"node"`
	Latest   uint64           `json:"latest"`            // the store's, as this node knows it; 0: none
	Applied  uint64           `json:"applied"`           // that this node serves by; 0: its own file alone
	Rejected string           `json:"refused,omitempty"` // why the latest is not the one applied
	Version  settings.Version `json:"version"`           // the latest
}

// SettingsChange is an operator's wish to write a version.
type SettingsChange struct {
	BaseVersion uint64 `json:"base"` // the version that it was made to
	Text        string `json:"text"`
	Author      string `json:"author"`
	Note        string `json:"note,omitempty"`
	RollbackTo  uint64 `json:"back,omitempty"`
	DryRun      bool   `json:"check,omitempty"` // nothing is written
}

// settingsFollower takes on what the store has.
type settingsFollower struct {
	*assembly
	mu                sync.Mutex
	applied           uint64
	lastTried         uint64 // the latest that was tried
	rejection         string
	unreadableVersion uint64     // the store's version of the record that could not be read
	writeMutex        sync.Mutex // held while a version is written
}

func settingsComponent(a *assembly) (component, error) {
	if !a.operator.Store.SharedSettings {
		return component{}, nil
	}
	f := &settingsFollower{assembly: a}
	a.routes = append(a.routes,
		control.Route{Pattern: "GET /v1/config", Handle: func(*http.Request, []byte) (any, error) { return f.status(), nil }},
		control.Route{Pattern: "GET /v1/config/history", Handle: func(*http.Request, []byte) (any, error) { return f.history(), nil }},
		control.Route{Pattern: "GET /v1/config/version/{number}", Handle: f.callVersion},
		control.Route{Pattern: "POST /v1/config", Handle: f.callChange})
	return component{name: "settings", start: f.start, run: f.run}, nil
}

func (f *settingsFollower) latest() (number uint64, at uint64) {
	at, _ = f.read(currentKey, &number)
	return number, at
}

func (f *settingsFollower) version(number uint64) (v settings.Version, ok bool) {
	_, ok = f.read(fmt.Sprintf("%s%010d", versionsKey, number), &v)
	return v, ok
}

// read decodes what a key holds. A record that cannot be read is named, once, and counts as none.
func (f *settingsFollower) read(key string, into any) (at uint64, ok bool) {
	v := f.store.Get(key)
	if v.Version == 0 {
		return 0, false
	}
	if err := json.Unmarshal(v.Data, into); err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.unreadableVersion != v.Version {
			f.unreadableVersion = v.Version
			f.log.Error("a record of the shared configuration cannot be read; what is in force stays", zap.String("key", key), zap.Error(err))
		}
		return v.Version, false
	}
	return v.Version, true
}

// start takes on what the store has before anything is served: a node that comes back must not serve by old settings
// once it can know the new ones.
func (f *settingsFollower) start(ctx context.Context) {
	late, ok := f.store.(interface{ CaughtUp() bool })
	for end := time.Now().Add(storeTimeout); ok && !late.CaughtUp() && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.log.Warn("the store has not caught up; the node's own file holds until it has")
			return
		}
	}
	f.follow(func(w settingsRequest) error { return f.handleSettings(w, f.configFile, nil, f.log) })
}

func (f *settingsFollower) run(ctx context.Context) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.follow(func(w settingsRequest) error { return f.submit(ctx, w) })
		wait(ctx, tick)
	}
}

// submit hands a wish to the actor of the configuration's changes.
func (f *settingsFollower) submit(ctx context.Context, w settingsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	w.result = make(chan error, 1)
	select {
	case f.settingsRequests <- w:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follow takes on the latest version, once.
func (f *settingsFollower) follow(do func(settingsRequest) error) {
	number, _ := f.latest()
	f.mu.Lock()
	known := number == f.lastTried
	f.mu.Unlock()
	if known || number == 0 {
		return
	}
	v, ok := f.version(number)
	if !ok {
		return // on its way
	}
	err := do(settingsRequest{text: v.Text})
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTried, f.rejection = number, ""
	if err != nil {
		f.rejection = err.Error()
		f.log.Error("a version of the shared configuration is not taken on; the last good one holds", zap.Uint64("version", number), zap.Error(err))
		return
	}
	f.applied = number
	f.log.Info("the shared configuration was taken on", zap.Uint64("version", number), zap.String("author", v.Author), zap.String("note", v.Note))
}

func (f *settingsFollower) status() SettingsStatus {
	number, _ := f.latest()
	v, _ := f.version(number)
	f.mu.Lock()
	defer f.mu.Unlock()
	return SettingsStatus{Node: f.name, Latest: number, Applied: f.applied, Rejected: f.rejection, Version: v}
}

// history are the versions that are kept, the latest first, without their text.
func (f *settingsFollower) history() []settings.Version {
	all := []settings.Version{}
	number, _ := f.latest()
	for n := number; n > 0 && len(all) < settings.MaxVersions; n-- {
		if v, ok := f.version(n); ok {
			v.Text = ""
			all = append(all, v)
		}
	}
	return all
}

func (f *settingsFollower) callVersion(r *http.Request, _ []byte) (any, error) {
	var n uint64
	_, err := fmt.Sscan(r.PathValue("number"), &n)
	v, ok := f.version(n)
	if err != nil || !ok {
		return nil, &control.Error{Status: http.StatusNotFound, Code: "no_version", Message: "there is no version " + r.PathValue("number") + ", or it is no longer kept"}
	}
	return v, nil
}

// callChange checks a version whole, and writes it. Nodes take it on as they see it.
func (f *settingsFollower) callChange(r *http.Request, body []byte) (any, error) {
	var c SettingsChange
	if err := control.Decode(body, &c); err != nil {
		return nil, err
	}
	if _, leads := f.store.Leadership(); !leads {
		e := &control.Error{Status: http.StatusMisdirectedRequest, Code: "not_leader", Message: "another member writes the configuration"}
		for _, m := range f.operator.Store.Members {
			if m.Address == f.store.Leader() || m.ID == f.store.Leader() {
				e.Leader = m.ControlAddress
			}
		}
		if e.Leader == "" {
			e.Status, e.Message = http.StatusServiceUnavailable, "the store has no leader now"
		}
		return nil, e
	}
	f.writeMutex.Lock()
	defer f.writeMutex.Unlock()
	number, at := f.latest()
	v, err := settings.NextVersion(number, c.BaseVersion, settings.Version{Author: c.Author, Note: c.Note, CreatedAt: time.Now().UTC(), Text: c.Text, RollbackTo: c.RollbackTo})
	switch {
	case errors.Is(err, settings.ErrStale):
		return nil, &control.Error{Status: http.StatusConflict, Code: "stale", Message: err.Error()}
	case err != nil:
		return nil, &control.Error{Code: "bad_config", Message: err.Error()}
	}
	if err := f.submit(r.Context(), settingsRequest{text: c.Text, dryRun: true}); err != nil {
		return nil, &control.Error{Code: "bad_config", Message: err.Error()}
	}
	if c.DryRun {
		return v, nil
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	pointer, err := json.Marshal(v.Number)
	if err != nil {
		return nil, err
	}
	ops := []store.Op{{Key: currentKey, Data: pointer, ExpectedVersion: at}, {Key: fmt.Sprintf("%s%010d", versionsKey, v.Number), Data: raw, ExpectedVersion: store.AnyVersion}}
	if v.Number > settings.MaxVersions {
		ops = append(ops, store.Op{Key: fmt.Sprintf("%s%010d", versionsKey, v.Number-settings.MaxVersions), ExpectedVersion: store.AnyVersion})
	}
	if _, err := f.store.Write(r.Context(), ops...); err != nil {
		if errors.Is(err, store.ErrConflict) {
			return nil, &control.Error{Status: http.StatusConflict, Code: "stale", Message: "the configuration has changed meanwhile"}
		}
		return nil, &control.Error{Status: http.StatusServiceUnavailable, Code: "not_written", Message: err.Error()}
	}
	return v, nil
}
