package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/store"
)

const (
	formOverheadBytes = 1 << 20 // of an upload's form that is held in memory besides the file
	maxBodyBytes      = 64 << 10
	defaultPageSize   = 20
	maxPageSize       = 100
	maxWindow         = 7 * 24 * time.Hour
	maxUploads        = 4 // at once; each is held in memory whole
)

// RequestFields are the names, or the standard values, of what a line states about its flow.
type RequestFields struct {
	Class, Tenant, Session, Prefix string
	MaxTokens                      float64 // of the standard values only
}

// Options are a front's settings and neighbours.
type Options struct {
	Core               *node.Core
	Store              store.Store
	Log                *zap.Logger
	Classes, Tenants   []string
	Fields             RequestFields // keys of a line's metadata
	Defaults           RequestFields
	MaxConcurrentLines int           // lines out at once, of all batches together
	LineTimeout        time.Duration // in which one sending of a line must have ended
	MaxAttempts        int           // sendings of a line that may fail
	MaxFileBytes       int           // bytes of an input file
	MaxTotalFileBytes  int           // bytes of all files together, from which no further one is taken
	MemberAddresses    map[string]string
}

// Service is the batch front.
type Service struct {
	Options
	classes, tenants map[string]int
	wake             chan struct{}
	uploadSlots      chan struct{} // of uploads that may be under way
	mu               sync.Mutex
	signals          map[string]chan struct{}
	uploads          map[string]bool // files whose content is being written
}

// New makes a front; Run runs its batches.
func New(o Options) *Service {
	f := &Service{Options: o, classes: map[string]int{}, tenants: map[string]int{}, wake: make(chan struct{}, 1),
		signals: map[string]chan struct{}{}, uploads: map[string]bool{}, uploadSlots: make(chan struct{}, maxUploads)}
	for i, n := range o.Classes {
		f.classes[n] = i
	}
	for i, n := range o.Tenants {
		f.tenants[n] = i
	}
	return f
}

// changed is signalled when a client changes the batch.
func (f *Service) changed(id string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.signals[id]
	if c == nil {
		c = make(chan struct{}, 1)
		f.signals[id] = c
	}
	return c
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ---- keys ----

func batchKey(id string) string         { return "batch/" + id }
func fileKey(id string) string          { return "file/" + id }
func lineKeys(id string) string         { return "line/" + id + "/" }
func resultKeys(id string) string       { return "result/" + id + "/" }
func lineKey(id string, n int) string   { return fmt.Sprintf("%s%06d", lineKeys(id), n) }
func resultKey(id string, n int) string { return fmt.Sprintf("%s%06d", resultKeys(id), n) }
func chunkKey(id string, n int) string  { return fmt.Sprintf("%s%s/%06d", chunkKeys, id, n) }

const chunkKeys = "data/"

// read decodes what a key holds.
func read[T any](s store.Store, key string) (v T, version uint64, ok bool) {
	raw := s.Get(key)
	ok = raw.Version != 0 && json.Unmarshal(raw.Data, &v) == nil
	return v, raw.Version, ok
}

func (f *Service) batch(id string) (Batch, uint64, bool) {
	return read[Batch](f.Store, batchKey(id))
}

// uploading tells that a file's content is being written by this member.
func (f *Service) uploading(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.uploads[id]
}

// store writes a file: its content first, so that a file that can be seen is whole. What it leaves when it breaks off
// is swept by whoever leads next.
func (f *Service) store(ctx context.Context, file File, content []byte) error {
	f.mu.Lock()
	f.uploads[file.ID] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.uploads, file.ID)
	}()
	for n := 0; n*chunkSize < len(content); n++ {
		part := content[n*chunkSize : min(len(content), (n+1)*chunkSize)]
		if _, err := f.Store.Write(ctx, store.Op{Key: chunkKey(file.ID, n), Data: part, ExpectedVersion: store.AnyVersion}); err != nil {
			return err
		}
	}
	file.Object, file.Bytes, file.CreatedAt, file.Status = "file", len(content), now(), "processed"
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	_, err = f.Store.Write(ctx, store.Op{Key: fileKey(file.ID), Data: raw, ExpectedVersion: store.AnyVersion})
	return err
}

func (f *Service) content(id string) ([]byte, error) {
	file, ok := f.file(id)
	if !ok {
		return nil, fmt.Errorf("file %s is not in the store", id)
	}
	content := make([]byte, 0, file.Bytes)
	for n := 0; len(content) < file.Bytes; n++ {
		part := f.Store.Get(chunkKey(id, n)).Data
		if len(part) == 0 {
			return nil, fmt.Errorf("file %s is not whole", id)
		}
		content = append(content, part...)
	}
	return content, nil
}

func (f *Service) file(id string) (File, bool) {
	file, _, ok := read[File](f.Store, fileKey(id))
	return file, ok
}

// ---- HTTP ----

// Handler returns the front's HTTP handler, for the paths below /v1/files and /v1/batches.
func (f *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", f.leading(f.upload))
	mux.HandleFunc("GET /v1/files", f.listFiles)
	mux.HandleFunc("GET /v1/files/{id}", f.getFile)
	mux.HandleFunc("GET /v1/files/{id}/content", f.getContent)
	mux.HandleFunc("DELETE /v1/files/{id}", f.leading(f.deleteFile))
	mux.HandleFunc("POST /v1/batches", f.leading(f.create))
	mux.HandleFunc("GET /v1/batches", f.listBatches)
	mux.HandleFunc("GET /v1/batches/{id}", f.getBatch)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", f.leading(f.cancel))
	return mux
}

// leading sends a client that wants to write to the member that leads.
func (f *Service) leading(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := f.Store.Leadership(); ok {
			next(w, r)
			return
		}
		if address := f.MemberAddresses[f.Store.Leader()]; address != "" {
			w.Header().Set("Location", "http://"+address+r.URL.RequestURI())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "server_error", "", "no member leads the store at the moment")
	}
}

func writeError(w http.ResponseWriter, status int, kind, param, text string) {
	type body struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    *string `json:"code"`
	}
	b := body{Message: text, Type: kind}
	if param != "" {
		b.Param = &param
	}
	writeJSON(w, status, map[string]body{"error": b})
}

func writeInvalid(w http.ResponseWriter, param, text string) {
	writeError(w, http.StatusBadRequest, "invalid_request_error", param, text)
}

func writeNotFound(w http.ResponseWriter, what, id string) {
	writeError(w, http.StatusNotFound, "invalid_request_error", "id", fmt.Sprintf("no such %s: %q", what, id))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"error":{"message":"internal error"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// writeStoreError answers for a write that the store did not take.
func (f *Service) writeStoreError(w http.ResponseWriter, err error) {
	f.Log.Warn("store", zap.Error(err))
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "server_error", "", "the store did not take this: "+err.Error())
}

func (f *Service) upload(w http.ResponseWriter, r *http.Request) {
	select {
	case f.uploadSlots <- struct{}{}:
		defer func() { <-f.uploadSlots }()
	default:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "server_error", "", "too many uploads at once")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(f.MaxFileBytes)+formOverheadBytes)
	form, err := r.MultipartReader()
	if err != nil {
		writeInvalid(w, "", "the body is no multipart form: "+err.Error())
		return
	}
	var purpose, name string
	var content []byte
	found := false
	for {
		part, err := form.NextPart()
		if err == io.EOF {
			break
		}
		var large *http.MaxBytesError
		if err == nil {
			switch part.FormName() {
			case "purpose":
				var raw []byte
				raw, err = io.ReadAll(io.LimitReader(part, 64))
				purpose = string(raw)
			case "file":
				name, found = part.FileName(), true
				content, err = io.ReadAll(io.LimitReader(part, int64(f.MaxFileBytes)+1))
			}
		}
		if len(content) > f.MaxFileBytes || errors.As(err, &large) {
			writeError(w, http.StatusRequestEntityTooLarge, "invalid_request_error", "file",
				fmt.Sprintf("the file is larger than %d bytes", f.MaxFileBytes))
			return
		}
		if err != nil {
			writeInvalid(w, "file", "the form breaks off: "+err.Error())
			return
		}
	}
	switch {
	case purpose != "batch":
		writeInvalid(w, "purpose", fmt.Sprintf("purpose %q; only \"batch\" is taken", purpose))
		return
	case !found:
		writeInvalid(w, "file", "the form holds no file")
		return
	case len(content) == 0:
		writeInvalid(w, "file", "the file is empty")
		return
	}
	if held := f.held(); held+len(content) > f.MaxTotalFileBytes {
		writeError(w, http.StatusInsufficientStorage, "server_error", "file",
			fmt.Sprintf("the files that are kept have %d bytes of the %d that they may have together; delete some", held, f.MaxTotalFileBytes))
		return
	}
	id := newID("file-")
	// The client's leaving is no reason to leave half a file: it is whole, and the store takes it or does not.
	ctx := context.WithoutCancel(r.Context())
	if err := f.store(ctx, File{ID: id, Filename: name, Purpose: purpose}, content); err != nil {
		f.remove(ctx, id)
		f.writeStoreError(w, err)
		return
	}
	file, _ := f.file(id)
	writeJSON(w, http.StatusOK, file)
}

// held is how many bytes all files have. Files that are being written do not count yet; there are uploadsMost of them.
func (f *Service) held() (all int) {
	for _, k := range f.Store.List(fileKey("")) {
		if file, ok := f.file(k[len(fileKey("")):]); ok {
			all += file.Bytes
		}
	}
	return all
}

func (f *Service) getFile(w http.ResponseWriter, r *http.Request) {
	file, ok := f.file(r.PathValue("id"))
	if !ok {
		writeNotFound(w, "file", r.PathValue("id"))
		return
	}
	writeJSON(w, http.StatusOK, file)
}

func (f *Service) getContent(w http.ResponseWriter, r *http.Request) {
	content, err := f.content(r.PathValue("id"))
	if err != nil {
		writeNotFound(w, "file", r.PathValue("id"))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

func (f *Service) deleteFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, ok := f.file(id); !ok {
		writeNotFound(w, "file", id)
		return
	}
	for _, k := range f.Store.List(batchKey("")) {
		if b, _, ok := f.batch(k[len(batchKey("")):]); ok && b.InputFileID == id && !b.Status.Terminal() {
			writeError(w, http.StatusConflict, "invalid_request_error", "id", "the file is in use by batch "+b.ID)
			return
		}
	}
	if err := f.remove(r.Context(), id); err != nil {
		f.writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
}

// remove takes a file away, whole or not, in one step.
func (f *Service) remove(ctx context.Context, id string) error {
	ops := []store.Op{{Key: fileKey(id), ExpectedVersion: store.AnyVersion}}
	for _, k := range f.Store.List(chunkKeys + id + "/") {
		ops = append(ops, store.Op{Key: k, ExpectedVersion: store.AnyVersion})
	}
	_, err := f.Store.Write(ctx, ops...)
	return err
}

func (f *Service) create(w http.ResponseWriter, r *http.Request) {
	var want struct {
		InputFileID      string            `json:"input_file_id"`
		Endpoint         string            `json:"endpoint"`
		CompletionWindow string            `json:"completion_window"`
		Metadata         map[string]string `json:"metadata"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&want); err != nil {
		writeInvalid(w, "", "the body is not a JSON object of this form: "+err.Error())
		return
	}
	window, err := time.ParseDuration(want.CompletionWindow)
	file, ok := f.file(want.InputFileID)
	switch {
	case !ok:
		writeInvalid(w, "input_file_id", fmt.Sprintf("no such file: %q", want.InputFileID))
		return
	case file.Purpose != "batch":
		writeInvalid(w, "input_file_id", fmt.Sprintf("the file's purpose is %q, not \"batch\"", file.Purpose))
		return
	case want.Endpoint != Endpoint:
		writeInvalid(w, "endpoint", fmt.Sprintf("endpoint %q; only %q is served", want.Endpoint, Endpoint))
		return
	case err != nil || window < time.Second || window > maxWindow:
		writeInvalid(w, "completion_window",
			fmt.Sprintf("completion_window %q; a span such as \"24h\", from 1s to 168h, is taken", want.CompletionWindow))
		return
	}
	created := time.Now()
	b := Batch{ID: newID("batch_"), Object: "batch", Endpoint: want.Endpoint, InputFileID: want.InputFileID,
		CompletionWindow: want.CompletionWindow, Status: Validating, CreatedAt: created.Unix(),
		ExpiresAt: created.Add(window).Unix(), Metadata: want.Metadata}
	raw, err := json.Marshal(b)
	if err == nil {
		_, err = f.Store.Write(r.Context(), store.Op{Key: batchKey(b.ID), Data: raw})
	}
	if err != nil {
		f.writeStoreError(w, err)
		return
	}
	notify(f.wake)
	writeJSON(w, http.StatusOK, b)
}

// counted fills in how many lines have their result by now.
func (f *Service) counted(b Batch) Batch {
	if b.Status.Terminal() {
		return b
	}
	b.RequestCounts.Completed, b.RequestCounts.Failed = 0, 0
	for _, k := range f.Store.List(lineKeys(b.ID)) {
		r, _, _ := read[lineRecord](f.Store, k)
		switch r.State {
		case lineDone:
			b.RequestCounts.Completed++
		case lineFailed:
			b.RequestCounts.Failed++
		}
	}
	return b
}

func (f *Service) getBatch(w http.ResponseWriter, r *http.Request) {
	b, _, ok := f.batch(r.PathValue("id"))
	if !ok {
		writeNotFound(w, "batch", r.PathValue("id"))
		return
	}
	writeJSON(w, http.StatusOK, f.counted(b))
}

// cancel stops what has not been sent; lines that are out end by themselves.
func (f *Service) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, _, ok := f.batch(id); !ok {
		writeNotFound(w, "batch", id)
		return
	}
	over := false
	err := f.change(r.Context(), id, func(b *Batch) {
		if over = b.Status.Terminal() || b.Status == Finalizing; !over && b.Status != Cancelling {
			b.Status, b.CancellingAt = Cancelling, now()
		}
	})
	if err != nil {
		f.writeStoreError(w, err)
		return
	}
	b, _, _ := f.batch(id)
	if over {
		writeError(w, http.StatusConflict, "invalid_request_error", "id",
			fmt.Sprintf("a batch that is %s cannot be cancelled", b.Status))
		return
	}
	notify(f.changed(id))
	writeJSON(w, http.StatusOK, f.counted(b))
}

// listing is one page of a list, newest first.
type listing[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func writeListing[T any](w http.ResponseWriter, r *http.Request, all []T, id func(T) string, born func(T) int64) {
	limit := defaultPageSize
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxPageSize {
			writeInvalid(w, "limit", fmt.Sprintf("limit %q; a number from 1 to %d is taken", s, maxPageSize))
			return
		}
		limit = n
	}
	sort.SliceStable(all, func(i, j int) bool { return born(all[i]) > born(all[j]) })
	if after := r.URL.Query().Get("after"); after != "" {
		i := 0
		for i < len(all) && id(all[i]) != after {
			i++
		}
		if i == len(all) {
			writeInvalid(w, "after", fmt.Sprintf("no such entry: %q", after))
			return
		}
		all = all[i+1:]
	}
	p := listing[T]{Object: "list", Data: all[:min(limit, len(all))], HasMore: len(all) > limit}
	if n := len(p.Data); n > 0 {
		p.FirstID, p.LastID = id(p.Data[0]), id(p.Data[n-1])
	}
	writeJSON(w, http.StatusOK, p)
}

func (f *Service) listBatches(w http.ResponseWriter, r *http.Request) {
	all := []Batch{}
	for _, k := range f.Store.List(batchKey("")) {
		if b, _, ok := f.batch(k[len(batchKey("")):]); ok {
			all = append(all, f.counted(b))
		}
	}
	writeListing(w, r, all, func(b Batch) string { return b.ID }, func(b Batch) int64 { return b.CreatedAt })
}

func (f *Service) listFiles(w http.ResponseWriter, r *http.Request) {
	all := []File{}
	for _, k := range f.Store.List(fileKey("")) {
		if file, ok := f.file(k[len(fileKey("")):]); ok {
			all = append(all, file)
		}
	}
	writeListing(w, r, all, func(file File) string { return file.ID }, func(file File) int64 { return file.CreatedAt })
}
