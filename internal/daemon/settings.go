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
	currentKey       = "settings/current"  // holds the number of the latest version
	versionKeyPrefix = "settings/version/" // followed by the version's number; holds the version

	settingsPollInterval = 150 * time.Millisecond // interval at which the store is polled for a new version
	catchUpPollInterval  = 20 * time.Millisecond  // interval of the checks whether the store has caught up
	settingsTimeout      = 10 * time.Second       // bounds the wait until this node has checked or applied a version
)

// SettingsStatus is the state of the shared configuration at a node.
type SettingsStatus struct {
	Node     string           `json:"node"`
	Latest   uint64           `json:"latest"`            // latest version known to this node; 0 for none
	Applied  uint64           `json:"applied"`           // version in force; 0 if the node uses its own file only
	Rejected string           `json:"refused,omitempty"` // reason why the latest version is not applied
	Version  settings.Version `json:"version"`           // the latest version
}

// SettingsChange is a request to write a new version of the shared configuration.
type SettingsChange struct {
	BaseVersion uint64 `json:"base"` // version that the change is based on; it must be the latest
	Text        string `json:"text"`
	Author      string `json:"author"`
	Note        string `json:"note,omitempty"`
	RollbackTo  uint64 `json:"back,omitempty"`  // version whose text is restored; 0 for none
	DryRun      bool   `json:"check,omitempty"` // check the change without writing it
}

// settingsFollower applies versions of the shared configuration as they appear in the store, and writes new versions.
type settingsFollower struct {
	*assembly

	mu                sync.Mutex // guards the fields below
	applied           uint64     // number of the version in force
	lastAttempted     uint64     // number of the latest version that this node tried to apply
	rejection         string     // reason why lastAttempted is not applied; "" if it is
	unreadableVersion uint64     // store version of the last unreadable record that was logged

	writeMutex sync.Mutex // held while a version is checked and written
}

// settingsComponent shares configuration through the store, if the operator's file enables it.
func settingsComponent(a *assembly) (component, error) {
	if !a.operator.Store.SharedSettings {
		return component{}, nil
	}
	f := &settingsFollower{assembly: a}
	a.routes = append(a.routes,
		control.Route{Pattern: "GET /v1/config", Handle: f.serveStatus},
		control.Route{Pattern: "GET /v1/config/history", Handle: f.serveHistory},
		control.Route{Pattern: "GET /v1/config/version/{number}", Handle: f.serveVersion},
		control.Route{Pattern: "POST /v1/config", Handle: f.serveChange})
	return component{name: "settings", start: f.start, run: f.run}, nil
}

// start applies the latest version before clients are accepted: a restarted node must not serve with old settings when
// newer ones are available.
func (f *settingsFollower) start(ctx context.Context) {
	if f.awaitStore(ctx) {
		f.follow(f.handleSettings)
	}
}

// awaitStore waits until the store has caught up with its leader, or the context ends. It returns false if that takes
// longer than storeTimeout.
func (f *settingsFollower) awaitStore(ctx context.Context) bool {
	replica, ok := f.store.(interface{ CaughtUp() bool })
	if !ok {
		return true
	}
	end := time.Now().Add(storeTimeout)
	for !replica.CaughtUp() && ctx.Err() == nil {
		if time.Now().After(end) {
			f.log.Warn("store not caught up; the node's own file is in force")
			return false
		}
		time.Sleep(catchUpPollInterval)
	}
	return true
}

// run polls the store for new versions until the context ends.
func (f *settingsFollower) run(ctx context.Context) {
	poll(ctx, settingsPollInterval, func() {
		f.follow(func(request settingsRequest) error { return f.submit(ctx, request) })
	})
}

// submit sends a request to the supervising goroutine and waits for its result.
func (f *settingsFollower) submit(ctx context.Context, request settingsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	request.result = make(chan error, 1)
	select {
	case f.settingsRequests <- request:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-request.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follow calls apply with the latest version, unless that version has been attempted before.
func (f *settingsFollower) follow(apply func(settingsRequest) error) {
	number, _ := f.latest()
	if number == 0 || number == f.attemptedVersion() {
		return
	}
	version, ok := f.version(number)
	if !ok {
		return // the version has not been replicated to this node yet
	}
	err := apply(settingsRequest{text: version.Text})
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return // the next poll tries again
	}
	f.recordResult(number, err)
	if err != nil {
		f.log.Error("shared configuration version rejected", zap.Uint64("version", number), zap.Error(err))
		return
	}
	f.log.Info("shared configuration applied",
		zap.Uint64("version", number), zap.String("author", version.Author), zap.String("note", version.Note))
}

func (f *settingsFollower) attemptedVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAttempted
}

// recordResult records that applying a version succeeded, or failed with err.
func (f *settingsFollower) recordResult(number uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAttempted = number
	if err != nil {
		f.rejection = err.Error()
		return
	}
	f.rejection = ""
	f.applied = number
}

// latest returns the number of the latest version, 0 if there is none, and the store version of the currentKey record.
func (f *settingsFollower) latest() (number, storeVersion uint64) {
	storeVersion, _ = f.read(currentKey, &number)
	return number, storeVersion
}

func (f *settingsFollower) version(number uint64) (version settings.Version, ok bool) {
	_, ok = f.read(versionKey(number), &version)
	return version, ok
}

func versionKey(number uint64) string { return fmt.Sprintf("%s%010d", versionKeyPrefix, number) }

// read decodes a record of the store into the value. An undecodable record counts as missing, and is logged once.
func (f *settingsFollower) read(key string, into any) (storeVersion uint64, ok bool) {
	record := f.store.Get(key)
	if record.Version == 0 {
		return 0, false
	}
	err := json.Unmarshal(record.Data, into)
	if err != nil && f.isNewUnreadable(record.Version) {
		f.log.Error("shared configuration record unreadable", zap.String("key", key), zap.Error(err))
	}
	return record.Version, err == nil
}

// isNewUnreadable reports whether the unreadable record with this store version has not been logged yet, and marks it
// as logged.
func (f *settingsFollower) isNewUnreadable(storeVersion uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isNew := f.unreadableVersion != storeVersion
	f.unreadableVersion = storeVersion
	return isNew
}

func (f *settingsFollower) serveStatus(*http.Request, []byte) (any, error) {
	number, _ := f.latest()
	version, _ := f.version(number)
	f.mu.Lock()
	defer f.mu.Unlock()
	return SettingsStatus{
		Node:     f.name,
		Latest:   number,
		Applied:  f.applied,
		Rejected: f.rejection,
		Version:  version,
	}, nil
}

// serveHistory lists the versions that the store retains, latest first, without their texts.
func (f *settingsFollower) serveHistory(*http.Request, []byte) (any, error) {
	versions := []settings.Version{}
	latest, _ := f.latest()
	for number := latest; number > 0 && len(versions) < settings.MaxVersions; number-- {
		if version, ok := f.version(number); ok {
			version.Text = ""
			versions = append(versions, version)
		}
	}
	return versions, nil
}

func (f *settingsFollower) serveVersion(r *http.Request, _ []byte) (any, error) {
	text := r.PathValue("number")
	var number uint64
	_, err := fmt.Sscan(text, &number)
	version, ok := f.version(number)
	if err != nil || !ok {
		return nil, &control.Error{
			Status:  http.StatusNotFound,
			Code:    control.CodeNoVersion,
			Message: "there is no version " + text + ", or it is no longer kept",
		}
	}
	return version, nil
}

// serveChange checks a new version as the complete configuration of this node, and writes it to the store. Each node
// applies it when the version reaches its replica.
func (f *settingsFollower) serveChange(r *http.Request, body []byte) (any, error) {
	var change SettingsChange
	if err := control.Decode(body, &change); err != nil {
		return nil, err
	}
	if _, leads := f.store.Leadership(); !leads {
		return nil, f.notLeader()
	}
	f.writeMutex.Lock()
	defer f.writeMutex.Unlock()
	latest, storeVersion := f.latest()
	version, err := f.checkChange(r.Context(), latest, &change)
	if err != nil || change.DryRun {
		return version, err
	}
	return version, f.write(r.Context(), version, storeVersion)
}

// notLeader returns the error for a client that should have called the leader. It names the leader's control address
// if that is known.
func (f *settingsFollower) notLeader() *control.Error {
	leader := f.store.Leader()
	for _, m := range f.operator.Store.Members {
		if (m.Address == leader || m.ID == leader) && m.ControlAddress != "" {
			return &control.Error{
				Status:  http.StatusMisdirectedRequest,
				Code:    control.CodeNotLeader,
				Message: "another member writes the configuration",
				Leader:  m.ControlAddress,
			}
		}
	}
	return &control.Error{
		Status:  http.StatusServiceUnavailable,
		Code:    control.CodeNotLeader,
		Message: "the store has no leader now",
	}
}

// checkChange turns a change into the version after latest, and checks it as the configuration of this node.
func (f *settingsFollower) checkChange(ctx context.Context, latest uint64,
	change *SettingsChange) (settings.Version, error) {
	version, err := settings.NextVersion(latest, change.BaseVersion, settings.Version{
		Author:     change.Author,
		Note:       change.Note,
		CreatedAt:  time.Now().UTC(),
		Text:       change.Text,
		RollbackTo: change.RollbackTo,
	})
	if errors.Is(err, settings.ErrStale) {
		return version, &control.Error{Status: http.StatusConflict, Code: control.CodeStale, Message: err.Error()}
	}
	if err == nil {
		err = f.submit(ctx, settingsRequest{text: change.Text, dryRun: true})
	}
	if err != nil {
		return version, &control.Error{Code: control.CodeBadConfig, Message: err.Error()}
	}
	return version, nil
}

// write stores a version and sets the currentKey record to it, unless that record has changed since storeVersion. The
// version that exceeds settings.MaxVersions is deleted.
func (f *settingsFollower) write(ctx context.Context, version settings.Version, storeVersion uint64) error {
	text, err := json.Marshal(version)
	if err != nil {
		return err
	}
	pointer, err := json.Marshal(version.Number)
	if err != nil {
		return err
	}
	ops := []store.Op{
		{Key: currentKey, Data: pointer, ExpectedVersion: storeVersion},
		{Key: versionKey(version.Number), Data: text, ExpectedVersion: store.AnyVersion},
	}
	if version.Number > settings.MaxVersions {
		oldest := versionKey(version.Number - settings.MaxVersions)
		ops = append(ops, store.Op{Key: oldest, ExpectedVersion: store.AnyVersion})
	}
	_, err = f.store.Write(ctx, ops...)
	switch {
	case errors.Is(err, store.ErrConflict):
		return &control.Error{
			Status:  http.StatusConflict,
			Code:    control.CodeStale,
			Message: "the configuration has changed meanwhile",
		}
	case err != nil:
		return &control.Error{Status: http.StatusServiceUnavailable, Code: control.CodeNotWritten, Message: err.Error()}
	}
	return nil
}
