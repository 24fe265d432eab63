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
	formOverheadBytes = 1 << 20 // maximum size of an upload's form in addition to the file
	maxPurposeBytes   = 64      // maximum size of the purpose field; a longer one is truncated
)

// Purposes of files.
const (
	purposeInput  = "batch"        // an uploaded input file
	purposeOutput = "batch_output" // an output or error file
)

var errFileTooLarge = errors.New("the file is too large")

// uploadForm holds the fields of an upload's form.
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

// storeUpload stores an uploaded file and responds with its file object.
func (s *Service) storeUpload(w http.ResponseWriter, r *http.Request, form *uploadForm) {
	id := newID("file-")
	// The file has been received completely, so a client that disconnects now must not interrupt the writes.
	ctx := context.WithoutCancel(r.Context())
	if err := s.storeFile(ctx, File{ID: id, Filename: form.filename, Purpose: form.purpose}, form.content); err != nil {
		_ = s.deleteFile(ctx, id) // chunks that cannot be deleted now are deleted by the next leader
		s.writeStoreError(w, err)
		return
	}
	file, _ := s.loadFile(id)
	writeJSON(w, http.StatusOK, file)
}

// readForm reads an upload's form. The error is errFileTooLarge if the file or the whole form is too large.
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

// check returns the first invalid parameter of the form and an error message, or "" if the form is valid.
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
	for _, id := range s.listIDs(fileKeyPrefix) {
		if file, ok := s.loadFile(id); ok {
			files = append(files, file)
		}
	}
	writeListing(w, r, files)
}

func (s *Service) handleGetFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	file, ok := s.loadFile(id)
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
	_, _ = w.Write(content) // an error means that the client has disconnected
}

func (s *Service) handleDeleteFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if _, ok := s.loadFile(id); !ok {
		writeNotFound(w, "file", id)
		return
	}
	if user := s.activeBatchUsing(id); user != "" {
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

// activeBatchUsing returns the ID of a batch that is not over and whose input is the given file, or "" if there is
// none.
func (s *Service) activeBatchUsing(fileID string) string {
	for _, id := range s.listIDs(batchKeyPrefix) {
		if b, _, ok := s.loadBatch(id); ok && b.InputFileID == fileID && !b.Status.Terminal() {
			return b.ID
		}
	}
	return ""
}
