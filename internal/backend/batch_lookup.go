package backend

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

const (
	// batchPageSize is the number of batches requested with one page of a backend's list; the public API allows 100.
	batchPageSize = 100
	// maxBatchPages is the maximum number of pages that one search reads. Backends list recent batches first.
	maxBatchPages = 20
)

// errListTooLong is returned if a backend lists more batches than one search reads.
var errListTooLong = errors.New("list of batches is too long to be searched")

// batchPage is a page of a backend's list of batches.
type batchPage struct {
	Data    []batchObject `json:"data"`
	HasMore bool          `json:"has_more"`
}

// resolveCreation finds out whether the backend has created a batch of the file, after a call to do so that may have
// taken effect. It returns the batch, or the result of the file's attempts and an error. Only if the batch is not
// listed after its input file was deleted, so that none can be created any more, have the attempts not run. They are
// unresolved if the backend cannot list its batches, or if nothing is certain after the time after which it counts as
// lost.
func (b *batchBackend) resolveCreation(
	base string, file *batchFile, cause error,
) (created batchObject, result node.Result, err error) {
	b.Log.Info("creation of a batch is uncertain, looking for it",
		zap.String("server", b.name),
		zap.String("file", file.id),
		zap.Int("lines", len(file.attempts)),
		zap.Error(cause))
	search := creationSearch{backend: b, base: base, fileID: file.id, unanswered: silence{limit: b.Batch.LostTimeout}}
	for {
		if file.isReleased() {
			return batchObject{}, releasedResult, errReleased
		}
		created, outcome, err := search.look()
		switch outcome {
		case creationConfirmed:
			b.Log.Info("uncertain batch found",
				zap.String("server", b.name), zap.String("file", file.id), zap.String("batch", created.ID))
			return created, node.Result{}, nil
		case creationRuledOut:
			return batchObject{}, node.Result{Code: standpoint.Rejected}, fmt.Errorf("batch was not created: %w", cause)
		case processGone:
			return batchObject{}, node.Result{Code: standpoint.ConnectionLost}, errors.Join(cause, err)
		case creationUnknown:
			unresolved := node.Result{Code: standpoint.ConnectionLost, Unresolved: true}
			return batchObject{}, unresolved, errors.Join(cause, err)
		}
		b.waitToPoll(file, nil)
	}
}

// creationOutcome is what is known about the creation of a batch.
type creationOutcome uint8

const (
	creationPending   creationOutcome = iota // to be looked for again
	creationConfirmed                        // the batch exists
	creationRuledOut                         // the batch does not exist and cannot be created any more
	processGone                              // the process that may have created it does not run any more
	creationUnknown                          // it cannot be found out
)

// creationSearch looks for the batch that a backend may have created of a file.
type creationSearch struct {
	backend    *batchBackend
	base       string
	fileID     string
	unanswered silence

	deletionSent bool // a call to delete the file may have taken effect
	fileDeleted  bool // the file is deleted, so that no batch can be created of it
}

// look looks for the batch once. A batch that is not listed may be created yet, as long as its input file exists.
func (s *creationSearch) look() (batchObject, creationOutcome, error) {
	made := time.Now()
	found, listed, err := s.findBatch()
	switch {
	case err == nil && listed:
		return found, creationConfirmed, nil
	case err == nil && s.fileDeleted:
		return batchObject{}, creationRuledOut, nil
	case err == nil:
		err = s.deleteFile()
	case isUnsupported(err):
		return batchObject{}, creationUnknown, err
	}
	switch {
	case err == nil:
		s.unanswered.end()
		return batchObject{}, creationPending, nil
	case !s.unanswered.add(made):
		return batchObject{}, creationPending, nil
	case isServerProcessGone(err):
		return batchObject{}, processGone, err
	}
	return batchObject{}, creationUnknown, fmt.Errorf("backend gave no certainty about the batch in time: %w", err)
}

// findBatch looks for the batch of the file in the backend's list.
func (s *creationSearch) findBatch() (found batchObject, listed bool, err error) {
	query := url.Values{"limit": {strconv.Itoa(batchPageSize)}}
	for range maxBatchPages {
		var page batchPage
		if err := s.backend.get(s.base+"/v1/batches?"+query.Encode(), &page); err != nil {
			return batchObject{}, false, err
		}
		for _, object := range page.Data {
			if object.InputFileID == s.fileID {
				return object, true, nil
			}
		}
		if !page.HasMore || len(page.Data) == 0 {
			return batchObject{}, false, nil
		}
		query.Set("after", page.Data[len(page.Data)-1].ID)
	}
	return batchObject{}, false, errListTooLong
}

// deleteFile deletes the file. That it does not exist proves that it was deleted only if an earlier call may have done
// so: a backend without that call responds alike.
func (s *creationSearch) deleteFile() error {
	err := s.backend.do(batchCall{method: http.MethodDelete, url: s.base + "/v1/files/" + s.fileID})
	s.fileDeleted = err == nil || s.deletionSent && responseStatus(err) == http.StatusNotFound
	s.deletionSent = s.deletionSent || mayHaveTakenEffect(err)
	return err
}
