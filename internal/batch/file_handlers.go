package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
)

const (
	formOverheadBytes = 1 << 20 // of an upload's form, besides the file
	maxPurposeBytes   = 64
)

// Purposes of files.
const (
	purposeInput  = "batch"
	purposeOutput = "batch_output"
)

var errFileTooLarge = errors.New("the file is too large")

// uploadForm is what an upload's form holds.
type uploadForm struct {
	purpose  string
	filename string
	content  []byte
	hasFile  bool
}

func (s *Service) handleUpload(w http.ResponseWriter, r *http.Request) {
	select {
	case s.uploadSlots <- struct{}{}:
		defer func() { <-s.uploadSlots }()
	default:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, serverError, "", "too many uploads at once")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(s.MaxFileBytes)+formOverheadBytes)
	reader, err := r.MultipartReader()
	if err != nil {
		writeInvalid(w, "", "the body is no multipart form: "+err.Error())
		return
	}
	form, err := s.readForm(reader)
	switch {
	case errors.Is(err, errFileTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, invalidRequest, "file",
			fmt.Sprintf("the file is larger than %d bytes", s.MaxFileBytes))
		return
	case err != nil:
		writeInvalid(w, "file", "the form breaks off: "+err.Error())
		return
	}
	if param, message := form.check(); message != "" {
		writeInvalid(w, param, message)
		return
	}
	if stored := s.storedBytes(); stored+len(form.content) > s.MaxTotalFileBytes {
		writeError(w, http.StatusInsufficientStorage, serverError, "file",
			fmt.Sprintf("the files that are kept have %d bytes of the %d that they may have together; delete some",
				stored, s.MaxTotalFileBytes))
		return
	}
	s.storeUpload(w, r, form)
}

// storeUpload stores an uploaded file and answers with its object.
func (s *Service) storeUpload(w http.ResponseWriter, r *http.Request, form *uploadForm) {
	id := newID("file-")
	// A client that leaves is no reason to store half a file: it is complete, and the store takes it or does not.
	ctx := context.WithoutCancel(r.Context())
	if err := s.storeFile(ctx, File{ID: id, Filename: form.filename, Purpose: form.purpose}, form.content); err != nil {
		_ = s.deleteFile(ctx, id) // what cannot be deleted now is swept by the next leader
		s.writeStoreError(w, err)
		return
	}
	file, _ := s.file(id)
	writeJSON(w, http.StatusOK, file)
}

// readForm reads an upload's form. The error is errFileTooLarge where the file, or the form with it, is too large.
func (s *Service) readForm(reader *multipart.Reader) (*uploadForm, error) {
	form := &uploadForm{}
	for {
		part, err := reader.NextPart()
		if err == io.EOF {
			return form, nil
		}
		if err == nil {
			err = s.readPart(form, part)
		}
		var tooLarge *http.MaxBytesError
		if len(form.content) > s.MaxFileBytes || errors.As(err, &tooLarge) {
			return nil, errFileTooLarge
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *Service) readPart(form *uploadForm, part *multipart.Part) error {
	var err error
	switch part.FormName() {
	case "purpose":
		var raw []byte
		raw, err = io.ReadAll(io.LimitReader(part, maxPurposeBytes))
		form.purpose = string(raw)
	case "file":
		form.filename = part.FileName()
		form.hasFile = true
		form.content, err = io.ReadAll(io.LimitReader(part, int64(s.MaxFileBytes)+1))
	}
	return err
}

// check returns which parameter of the form is at fault, and why; "" where none is.
func (f *uploadForm) check() (param, message string) {
	switch {
	case f.purpose != purposeInput:
		return "purpose", fmt.Sprintf("purpose %q; only %q is taken", f.purpose, purposeInput)
	case !f.hasFile:
		return "file", "the form holds no file"
	case len(f.content) == 0:
		return "file", "the file is empty"
	}
	return "", ""
}

func (s *Service) handleListFiles(w http.ResponseWriter, r *http.Request) {
	files := []File{}
	for _, id := range s.list(fileKeyPrefix) {
		if file, ok := s.file(id); ok {
			files = append(files, file)
		}
	}
	writeListing(w, r, files)
}

func (s *Service) handleGetFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	file, ok := s.file(id)
	if !ok {
		writeNotFound(w, "file", id)
		return
	}
	writeJSON(w, http.StatusOK, file)
}

func (s *Service) handleGetContent(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	content, err := s.fileContent(id)
	if err != nil {
		writeNotFound(w, "file", id)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content) // a client that has left gets no answer
}

func (s *Service) handleDeleteFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, ok := s.file(id); !ok {
		writeNotFound(w, "file", id)
		return
	}
	if user := s.batchUsing(id); user != "" {
		writeError(w, http.StatusConflict, invalidRequest, "id", "the file is in use by batch "+user)
		return
	}
	if err := s.deleteFile(r.Context(), id); err != nil {
		s.writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
}

// batchUsing returns the ID of a batch that is not over and has a file as its input, "" where there is none.
func (s *Service) batchUsing(fileID string) string {
	for _, id := range s.list(batchKeyPrefix) {
		if b, _, ok := s.batch(id); ok && b.InputFileID == fileID && !b.Status.Terminal() {
			return b.ID
		}
	}
	return ""
}
