package batch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/store"
)

const (
	maxCreateBodyBytes  = 64 << 10 // maximum size of the body of a request that creates a batch
	minCompletionWindow = time.Second
	maxCompletionWindow = 7 * 24 * time.Hour
)

// createRequest is the body of a request that creates a batch.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (s *Service) handleCreateBatch(w http.ResponseWriter, r *http.Request) {
	var request createRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCreateBodyBytes)).Decode(&request); err != nil {
		writeInvalid(w, "", "the body is not a JSON object of this form: "+err.Error())
		return
	}
	window, param, message := s.checkCreate(&request)
	if message != "" {
		writeInvalid(w, param, message)
		return
	}
	created := time.Now()
	b := Batch{
		ID:               newID("batch_"),
		Object:           "batch",
		Endpoint:         request.Endpoint,
		InputFileID:      request.InputFileID,
		CompletionWindow: request.CompletionWindow,
		Status:           Validating,
		CreatedAt:        unixSeconds(created),
		ExpiresAt:        unixSeconds(created.Add(window)),
		Metadata:         request.Metadata,
	}
	raw, err := json.Marshal(b)
	if err == nil {
		_, err = s.Store.Write(r.Context(), store.Op{Key: batchKey(b.ID), Data: raw})
	}
	switch {
	case err == nil:
		notify(s.wake)
		writeJSON(w, http.StatusOK, b)
	case store.NotApplied(err):
		s.writeStoreError(w, err)
	default:
		s.writeUncertainCreation(w, b.ID, err)
	}
}

// writeUncertainCreation responds to a request to create a batch whose write may have been carried out. Status 503 or a
// Retry-After would promise that a retry is harmless, but it could run every line a second time.
func (s *Service) writeUncertainCreation(w http.ResponseWriter, id string, err error) {
	s.Log.Warn("creation of a batch is uncertain", zap.String("batch", id), zap.Error(err))
	writeError(w, http.StatusInternalServerError, serverError, "",
		fmt.Sprintf("it is unknown whether batch %q was created; look for it before a retry: %v", id, err))
}

// checkCreate returns the completion window of a request that creates a batch, or the invalid parameter and an error
// message.
func (s *Service) checkCreate(request *createRequest) (window time.Duration, param, message string) {
	window, err := time.ParseDuration(request.CompletionWindow)
	file, ok := s.loadFile(request.InputFileID)
	switch {
	case !ok:
		return 0, "input_file_id", fmt.Sprintf("no such file: %q", request.InputFileID)
	case file.Purpose != purposeInput:
		return 0, "input_file_id", fmt.Sprintf("the file's purpose is %q, not %q", file.Purpose, purposeInput)
	case request.Endpoint != Endpoint:
		return 0, "endpoint", fmt.Sprintf("endpoint %q; only %q is served", request.Endpoint, Endpoint)
	case err != nil || window < minCompletionWindow || window > maxCompletionWindow:
		return 0, "completion_window", fmt.Sprintf(
			"completion_window %q; a span such as \"24h\", from 1s to 168h, is taken", request.CompletionWindow)
	}
	return window, "", ""
}

// withCounts returns a batch with the current numbers of its completed and failed lines.
func (s *Service) withCounts(b Batch) Batch {
	if b.Status.Terminal() {
		return b
	}
	b.RequestCounts.Completed = 0
	b.RequestCounts.Failed = 0
	for _, key := range s.Store.List(batchLinesPrefix(b.ID)) {
		record, _, _ := readJSON[lineRecord](s.Store, key)
		switch record.State {
		case lineCompleted:
			b.RequestCounts.Completed++
		case lineFailed:
			b.RequestCounts.Failed++
		}
	}
	return b
}

func (s *Service) handleListBatches(w http.ResponseWriter, r *http.Request) {
	batches := []Batch{}
	for _, id := range s.listIDs(batchKeyPrefix) {
		if b, _, ok := s.loadBatch(id); ok {
			batches = append(batches, s.withCounts(b))
		}
	}
	writeListing(w, r, batches)
}

func (s *Service) handleGetBatch(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	b, _, ok := s.loadBatch(id)
	if !ok {
		writeNotFound(w, "batch", id)
		return
	}
	writeJSON(w, http.StatusOK, s.withCounts(b))
}

// handleCancel cancels a batch. Lines that are not in flight fail; those in flight are completed.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, _, ok := s.loadBatch(id); !ok {
		writeNotFound(w, "batch", id)
		return
	}
	tooLate := false
	err := s.changeBatch(r.Context(), id, func(b *Batch) {
		tooLate = b.Status.Terminal() || b.Status == Finalizing
		if !tooLate && b.Status != Cancelling {
			b.Status = Cancelling
			b.CancellingAt = unixNow()
		}
	})
	if err != nil {
		s.writeStoreError(w, err)
		return
	}
	b, _, _ := s.loadBatch(id)
	if tooLate {
		writeError(w, http.StatusConflict, invalidRequest, "id",
			fmt.Sprintf("a batch that is %s cannot be cancelled", b.Status))
		return
	}
	notify(s.changeNotification(id))
	writeJSON(w, http.StatusOK, s.withCounts(b))
}
