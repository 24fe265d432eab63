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
	formMemory   = 1 << 20 // of an upload's form that is held in memory besides the file
	bodyMost     = 64 << 10
	pageStandard = 20
	pageMost     = 100
	windowMost   = 7 * 24 * time.Hour
	uploadsMost  = 4 // at once; each is held in memory whole
)

// Fields are the names, or the standard values, of what a line states about its flow.
type Fields struct {
	Class, Tenant, Session, Prefix string
	MaxTokens                      float64 // of the standard values only
}

// Options are a front's settings and neighbours.
type Options struct {
	Core             *node.Core
	Store            store.Store
	Log              *zap.Logger
	Classes, Tenants []string
	Fields           Fields // keys of a line's metadata
	Defaults         Fields
	LinesAtOnce      int           // lines out at once, of all batches together
	LineTime         time.Duration // in which one sending of a line must have ended
	Tries            int           // sendings of a line that may fail
	FileMost         int           // bytes of an input file
	FilesMost        int           // bytes of all files together, from which no further one is taken
	Members          map[string]string
}

// Front is the batch front.
type Front struct {
	Options
	classes, tenants map[string]int
	wake             chan struct{}
	places           chan struct{} // of uploads that may be under way
	mu               sync.Mutex
	signals          map[string]chan struct{}
	coming           map[string]bool // files whose content is being written
}

// New makes a front; Run runs its batches.
func New(o Options) *Front {
	f := &Front{Options: o, classes: map[string]int{}, tenants: map[string]int{}, wake: make(chan struct{}, 1),
		signals: map[string]chan struct{}{}, coming: map[string]bool{}, places: make(chan struct{}, uploadsMost)}
	for i, n := range o.Classes {
		f.classes[n] = i
	}
	for i, n := range o.Tenants {
		f.tenants[n] = i
	}
	return f
}

// changed is signalled when a client changes the batch.
func (f *Front) changed(id string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.signals[id]
	if c == nil {
		c = make(chan struct{}, 1)
		f.signals[id] = c
	}
	return c
}

func poke(c chan struct{}) {
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

func (f *Front) batch(id string) (Batch, uint64, bool) {
	return read[Batch](f.Store, batchKey(id))
}

// uploading tells that a file's content is being written by this member.
func (f *Front) uploading(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coming[id]
}

// store writes a file: its content first, so that a file that can be seen is whole. What it leaves when it breaks off
// is swept by whoever leads next.
func (f *Front) store(ctx context.Context, file File, content []byte) error {
	f.mu.Lock()
	f.coming[file.ID] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.coming, file.ID)
	}()
	for n := 0; n*chunkSize < len(content); n++ {
		part := content[n*chunkSize : min(len(content), (n+1)*chunkSize)]
		if _, err := f.Store.Write(ctx, store.Op{Key: chunkKey(file.ID, n), Data: part, If: store.Any}); err != nil {
			return err
		}
	}
	file.Object, file.Bytes, file.CreatedAt, file.Status = "file", len(content), now(), "processed"
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	_, err = f.Store.Write(ctx, store.Op{Key: fileKey(file.ID), Data: raw, If: store.Any})
	return err
}

func (f *Front) content(id string) ([]byte, error) {
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

func (f *Front) file(id string) (File, bool) {
	file, _, ok := read[File](f.Store, fileKey(id))
	return file, ok
}

// ---- HTTP ----

// Handler returns the front's HTTP handler, for the paths below /v1/files and /v1/batches.
func (f *Front) Handler() http.Handler {
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
func (f *Front) leading(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := f.Store.Leads(); ok {
			next(w, r)
			return
		}
		if address := f.Members[f.Store.Leader()]; address != "" {
			w.Header().Set("Location", "http://"+address+r.URL.RequestURI())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "server_error", "", "no member leads the store at the moment")
	}
}

func refuse(w http.ResponseWriter, status int, kind, param, text string) {
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
	answer(w, status, map[string]body{"error": b})
}

func invalid(w http.ResponseWriter, param, text string) {
	refuse(w, http.StatusBadRequest, "invalid_request_error", param, text)
}

func missing(w http.ResponseWriter, what, id string) {
	refuse(w, http.StatusNotFound, "invalid_request_error", "id", fmt.Sprintf("no such %s: %q", what, id))
}

func answer(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"error":{"message":"internal error"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// failed answers for a write that the store did not take.
func (f *Front) failed(w http.ResponseWriter, err error) {
	f.Log.Warn("store", zap.Error(err))
	w.Header().Set("Retry-After", "1")
	refuse(w, http.StatusServiceUnavailable, "server_error", "", "the store did not take this: "+err.Error())
}

func (f *Front) upload(w http.ResponseWriter, r *http.Request) {
	select {
	case f.places <- struct{}{}:
		defer func() { <-f.places }()
	default:
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "server_error", "", "too many uploads at once")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(f.FileMost)+formMemory)
	form, err := r.MultipartReader()
	if err != nil {
		invalid(w, "", "the body is no multipart form: "+err.Error())
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
				content, err = io.ReadAll(io.LimitReader(part, int64(f.FileMost)+1))
			}
		}
		if len(content) > f.FileMost || errors.As(err, &large) {
			refuse(w, http.StatusRequestEntityTooLarge, "invalid_request_error", "file",
				fmt.Sprintf("the file is larger than %d bytes", f.FileMost))
			return
		}
		if err != nil {
			invalid(w, "file", "the form breaks off: "+err.Error())
			return
		}
	}
	switch {
	case purpose != "batch":
		invalid(w, "purpose", fmt.Sprintf("purpose %q; only \"batch\" is taken", purpose))
		return
	case !found:
		invalid(w, "file", "the form holds no file")
		return
	case len(content) == 0:
		invalid(w, "file", "the file is empty")
		return
	}
	if held := f.held(); held+len(content) > f.FilesMost {
		refuse(w, http.StatusInsufficientStorage, "server_error", "file",
			fmt.Sprintf("the files that are kept have %d bytes of the %d that they may have together; delete some", held, f.FilesMost))
		return
	}
	id := newID("file-")
	// The client's leaving is no reason to leave half a file: it is whole, and the store takes it or does not.
	ctx := context.WithoutCancel(r.Context())
	if err := f.store(ctx, File{ID: id, Filename: name, Purpose: purpose}, content); err != nil {
		f.remove(ctx, id)
		f.failed(w, err)
		return
	}
	file, _ := f.file(id)
	answer(w, http.StatusOK, file)
}

// held is how many bytes all files have. Files that are being written do not count yet; there are uploadsMost of them.
func (f *Front) held() (all int) {
	for _, k := range f.Store.List(fileKey("")) {
		if file, ok := f.file(k[len(fileKey("")):]); ok {
			all += file.Bytes
		}
	}
	return all
}

func (f *Front) getFile(w http.ResponseWriter, r *http.Request) {
	file, ok := f.file(r.PathValue("id"))
	if !ok {
		missing(w, "file", r.PathValue("id"))
		return
	}
	answer(w, http.StatusOK, file)
}

func (f *Front) getContent(w http.ResponseWriter, r *http.Request) {
	content, err := f.content(r.PathValue("id"))
	if err != nil {
		missing(w, "file", r.PathValue("id"))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

func (f *Front) deleteFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, ok := f.file(id); !ok {
		missing(w, "file", id)
		return
	}
	for _, k := range f.Store.List(batchKey("")) {
		if b, _, ok := f.batch(k[len(batchKey("")):]); ok && b.InputFileID == id && !b.Status.Over() {
			refuse(w, http.StatusConflict, "invalid_request_error", "id", "the file is in use by batch "+b.ID)
			return
		}
	}
	if err := f.remove(r.Context(), id); err != nil {
		f.failed(w, err)
		return
	}
	answer(w, http.StatusOK, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
}

// remove takes a file away, whole or not, in one step.
func (f *Front) remove(ctx context.Context, id string) error {
	ops := []store.Op{{Key: fileKey(id), If: store.Any}}
	for _, k := range f.Store.List(chunkKeys + id + "/") {
		ops = append(ops, store.Op{Key: k, If: store.Any})
	}
	_, err := f.Store.Write(ctx, ops...)
	return err
}

func (f *Front) create(w http.ResponseWriter, r *http.Request) {
	var want struct {
		InputFileID      string            `json:"input_file_id"`
		Endpoint         string            `json:"endpoint"`
		CompletionWindow string            `json:"completion_window"`
		Metadata         map[string]string `json:"metadata"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyMost)).Decode(&want); err != nil {
		invalid(w, "", "the body is not a JSON object of this form: "+err.Error())
		return
	}
	window, err := time.ParseDuration(want.CompletionWindow)
	file, ok := f.file(want.InputFileID)
	switch {
	case !ok:
		invalid(w, "input_file_id", fmt.Sprintf("no such file: %q", want.InputFileID))
		return
	case file.Purpose != "batch":
		invalid(w, "input_file_id", fmt.Sprintf("the file's purpose is %q, not \"batch\"", file.Purpose))
		return
	case want.Endpoint != Endpoint:
		invalid(w, "endpoint", fmt.Sprintf("endpoint %q; only %q is served", want.Endpoint, Endpoint))
		return
	case err != nil || window < time.Second || window > windowMost:
		invalid(w, "completion_window",
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
		f.failed(w, err)
		return
	}
	poke(f.wake)
	answer(w, http.StatusOK, b)
}

// counted fills in how many lines have their result by now.
func (f *Front) counted(b Batch) Batch {
	if b.Status.Over() {
		return b
	}
	b.RequestCounts.Completed, b.RequestCounts.Failed = 0, 0
	for _, k := range f.Store.List(lineKeys(b.ID)) {
		r, _, _ := read[record](f.Store, k)
		switch r.State {
		case lineDone:
			b.RequestCounts.Completed++
		case lineFailed:
			b.RequestCounts.Failed++
		}
	}
	return b
}

func (f *Front) getBatch(w http.ResponseWriter, r *http.Request) {
	b, _, ok := f.batch(r.PathValue("id"))
	if !ok {
		missing(w, "batch", r.PathValue("id"))
		return
	}
	answer(w, http.StatusOK, f.counted(b))
}

// cancel stops what has not been sent; lines that are out end by themselves.
func (f *Front) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, _, ok := f.batch(id); !ok {
		missing(w, "batch", id)
		return
	}
	over := false
	err := f.change(r.Context(), id, func(b *Batch) {
		if over = b.Status.Over() || b.Status == Finalizing; !over && b.Status != Cancelling {
			b.Status, b.CancellingAt = Cancelling, now()
		}
	})
	if err != nil {
		f.failed(w, err)
		return
	}
	b, _, _ := f.batch(id)
	if over {
		refuse(w, http.StatusConflict, "invalid_request_error", "id",
			fmt.Sprintf("a batch that is %s cannot be cancelled", b.Status))
		return
	}
	poke(f.changed(id))
	answer(w, http.StatusOK, f.counted(b))
}

// page is one page of a list, newest first.
type page[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func paged[T any](w http.ResponseWriter, r *http.Request, all []T, id func(T) string, born func(T) int64) {
	limit := pageStandard
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > pageMost {
			invalid(w, "limit", fmt.Sprintf("limit %q; a number from 1 to %d is taken", s, pageMost))
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
			invalid(w, "after", fmt.Sprintf("no such entry: %q", after))
			return
		}
		all = all[i+1:]
	}
	p := page[T]{Object: "list", Data: all[:min(limit, len(all))], HasMore: len(all) > limit}
	if n := len(p.Data); n > 0 {
		p.FirstID, p.LastID = id(p.Data[0]), id(p.Data[n-1])
	}
	answer(w, http.StatusOK, p)
}

func (f *Front) listBatches(w http.ResponseWriter, r *http.Request) {
	all := []Batch{}
	for _, k := range f.Store.List(batchKey("")) {
		if b, _, ok := f.batch(k[len(batchKey("")):]); ok {
			all = append(all, f.counted(b))
		}
	}
	paged(w, r, all, func(b Batch) string { return b.ID }, func(b Batch) int64 { return b.CreatedAt })
}

func (f *Front) listFiles(w http.ResponseWriter, r *http.Request) {
	all := []File{}
	for _, k := range f.Store.List(fileKey("")) {
		if file, ok := f.file(k[len(fileKey("")):]); ok {
			all = append(all, file)
		}
	}
	paged(w, r, all, func(file File) string { return file.ID }, func(file File) int64 { return file.CreatedAt })
}
