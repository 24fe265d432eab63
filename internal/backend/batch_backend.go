package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// BatchOptions say how a backend that takes files is worked with.
type BatchOptions struct {
	Gather time.Duration // attempts are gathered for this long into one file
	Lines  int           // and into files of so many at most
	Poll   time.Duration // between two looks at a file's batch
	Lost   time.Duration // without an answer for so long the server is taken to be lost
}

// batchBackend is the actor of a backend that takes files: it gathers attempts into one, uploads it,
// polls its batch and joins the answers by custom_id.
type batchBackend struct {
	Options
	member
	client        *http.Client
	filesInFlight map[*batchFile]bool
	fileEnded     chan *batchFile
}

func (s *batchBackend) run(address string) {
	defer s.client.CloseIdleConnections()
	var waiting []*node.Attempt
	gather := time.NewTimer(time.Hour)
	defer gather.Stop()
	flush := func() {
		if len(waiting) == 0 {
			return
		}
		p := &batchFile{attempts: map[string]*node.Attempt{}}
		p.ctx, p.stop = context.WithCancel(context.Background())
		for _, a := range waiting {
			p.attempts[a.Request.Work.TraceID+"-"+strconv.Itoa(a.Number)] = a
		}
		waiting = nil
		s.filesInFlight[p] = true
		at := address // of this file; the next may go elsewhere
		go func() {
			s.runFile(at, p)
			p.stop()
			s.fileEnded <- p
		}()
	}
	leaving := false
	for !leaving || len(s.filesInFlight) > 0 {
		select {
		case p := <-s.fileEnded:
			delete(s.filesInFlight, p)
		case <-gather.C:
			flush()
		case m := <-s.mailbox:
			switch m := m.(type) {
			case sendAttempt:
				waiting = append(waiting, m.attempt)
				if len(waiting) == 1 {
					gather.Reset(s.Batch.Gather)
				}
				if len(waiting) >= s.Batch.Lines {
					flush()
				}
			case processChanged:
				address = m.process.address
			case drainStarted, backendRemoved:
				_, leaving = m.(backendRemoved)
				for _, a := range waiting { // not uploaded: never ran
					a.Finish(node.Result{Code: standpoint.TurnedAway})
				}
				waiting = nil
				for p := range s.filesInFlight {
					p.stop()
				}
			}
		}
	}
}

// errNotBegun is that of a file of which, as it was sent, some attempt might not begin any more.
var errNotBegun = errors.New("not begun")

// runFile takes a file from its upload to the last outcome. A line cannot be called back alone: where an
// attempt is given up, the whole batch is cancelled, and no attempt ends before the server has confirmed
// that the batch is over, or is lost. Until then a line that did not run yet may still do so.
func (s *batchBackend) runFile(address string, p *batchFile) {
	base := "http://" + address
	for _, a := range p.attempts {
		defer context.AfterFunc(a.Context(), p.stop)()
	}
	made, status, err := s.startBatch(base, p)
	switch {
	case len(p.attempts) == 0:
		return
	case err != nil && status == 0:
		s.finishAll(p, standpoint.ConnectionLost, err) // it may have been made all the same
		return
	case err != nil:
		s.finishAll(p, standpoint.TurnedAway, err)
		return
	}
	if s.OnWritten != nil {
		for range p.attempts {
			s.OnWritten()
		}
	}
	final, err := s.awaitBatch(base, made.ID, p)
	if err != nil {
		s.finishAll(p, standpoint.ConnectionLost, err)
		return
	}
	for _, id := range []string{final.OutputFileID, final.ErrorFileID} {
		if id == "" {
			continue
		}
		if err := s.joinResults(base, id, p); err != nil {
			s.finishAll(p, standpoint.ConnectionLost, err)
			return
		}
	}
	// What is in neither file of a batch that did not complete was never run.
	code := standpoint.TurnedAway
	if final.Status == "completed" {
		code = standpoint.ConnectionLost
	}
	s.finishAll(p, code, errors.New("no result for the line in a batch that is "+final.Status))
}

// startBatch uploads the file and has its batch made. Both are asked of the attempts as their first byte is written: where one may not
// begin any more, for its client has gone or the server is leaving, it is dropped, and the file made anew of the others.
func (s *batchBackend) startBatch(base string, p *batchFile) (made batchObject, status int, err error) {
	for {
		for id, a := range p.attempts {
			if a.MayBegin() != nil {
				s.finish(p, id, notBegunResult(a.Context()))
			}
		}
		if len(p.attempts) == 0 {
			return batchObject{}, 0, nil
		}
		fileID, err := s.upload(base, p)
		if err == nil {
			status, err = s.callIf(p.mayBegin(), http.MethodPost, base+"/v1/batches", map[string]string{"input_file_id": fileID,
				"endpoint": "/v1/chat/completions", "completion_window": "24h"}, &made)
			if !errors.Is(err, errNotBegun) {
				return made, status, err
			}
		}
		if !errors.Is(err, errNotBegun) { // a file alone runs nothing
			s.finishAll(p, standpoint.NoConnection, err)
			return batchObject{}, 0, nil
		}
	}
}

// batchObject is what this client reads of a batch object.
type batchObject struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
}

// awaitBatch polls the batch until it is over, and has it cancelled once that is wanted.
func (s *batchBackend) awaitBatch(base, id string, p *batchFile) (batchObject, error) {
	heard := time.Now()
	cancelled := false
	for {
		var b batchObject
		var err error
		if p.ctx.Err() != nil && !cancelled {
			_, err = s.call(http.MethodPost, base+"/v1/batches/"+id+"/cancel", nil, nil)
			cancelled = err == nil
		}
		if _, err = s.call(http.MethodGet, base+"/v1/batches/"+id, nil, &b); err == nil {
			heard = time.Now()
			switch b.Status {
			case "completed", "failed", "expired", "cancelled":
				return b, nil
			}
		} else if time.Since(heard) > s.Batch.Lost {
			return b, fmt.Errorf("lost: %w", err)
		}
		wake := p.ctx.Done()
		if p.ctx.Err() != nil {
			wake = nil
		}
		select {
		case <-time.After(s.Batch.Poll):
		case <-wake:
		}
	}
}
