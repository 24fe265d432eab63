package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"mime/multipart"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

const (
	callTime   = 5 * time.Second
	answerMost = 64 << 20 // of an output or error file
)

// BatchOptions say how a backend that takes files is worked with.
type BatchOptions struct {
	Gather time.Duration // attempts are gathered for this long into one file
	Lines  int           // and into files of so many at most
	Poll   time.Duration // between two looks at a file's batch
	Lost   time.Duration // without an answer for so long the server is taken to be lost
}

// batchServer is the actor of a backend that takes files: it gathers attempts into one, uploads it,
// polls its batch and joins the answers by custom_id.
type batchServer struct {
	Options
	actor
	client *http.Client
	out    map[*parcel]bool
	ended  chan *parcel
}

// parcel is one file of attempts. cancel is closed to have what has not run cancelled.
type parcel struct {
	attempts map[string]*node.Attempt // by custom_id, those without an outcome
	cancel   context.Context
	stop     context.CancelFunc
}

func (s *batchServer) run(address string) {
	defer s.client.CloseIdleConnections()
	var waiting []*node.Attempt
	gather := time.NewTimer(time.Hour)
	defer gather.Stop()
	flush := func() {
		if len(waiting) == 0 {
			return
		}
		p := &parcel{attempts: map[string]*node.Attempt{}}
		p.cancel, p.stop = context.WithCancel(context.Background())
		for _, a := range waiting {
			p.attempts[a.Request.Work.TraceID+"-"+strconv.Itoa(a.Number)] = a
		}
		waiting = nil
		s.out[p] = true
		at := address // of this file; the next may go elsewhere
		go func() {
			s.carry(at, p)
			p.stop()
			s.ended <- p
		}()
	}
	leaving := false
	for !leaving || len(s.out) > 0 {
		select {
		case p := <-s.ended:
			delete(s.out, p)
		case <-gather.C:
			flush()
		case m := <-s.mail:
			switch m := m.(type) {
			case *node.Attempt:
				if waiting = append(waiting, m); len(waiting) == 1 {
					gather.Reset(s.Batch.Gather)
				}
				if len(waiting) >= s.Batch.Lines {
					flush()
				}
			case moved:
				address = m.address
			case draining, gone:
				_, leaving = m.(gone)
				for _, a := range waiting { // not uploaded: never ran
					a.Finish(node.Result{Code: standpoint.TurnedAway})
				}
				waiting = nil
				for p := range s.out {
					p.stop()
				}
			}
		}
	}
}

// errNotBegun is that of a file of which, as it was sent, some attempt might not begin any more.
var errNotBegun = errors.New("not begun")

// carry takes a file from its upload to the last outcome. A line cannot be called back alone: where an
// attempt is given up, the whole batch is cancelled, and no attempt ends before the server has confirmed
// that the batch is over, or is lost. Until then a line that did not run yet may still do so.
func (s *batchServer) carry(address string, p *parcel) {
	base := "http://" + address
	for _, a := range p.attempts {
		defer context.AfterFunc(a.Context(), p.stop)()
	}
	made, status, err := s.begin(base, p)
	switch {
	case len(p.attempts) == 0:
		return
	case err != nil && status == 0:
		s.endAll(p, standpoint.ConnectionLost, err) // it may have been made all the same
		return
	case err != nil:
		s.endAll(p, standpoint.TurnedAway, err)
		return
	}
	if s.Wrote != nil {
		for range p.attempts {
			s.Wrote()
		}
	}
	final, err := s.follow(base, made.ID, p)
	if err != nil {
		s.endAll(p, standpoint.ConnectionLost, err)
		return
	}
	for _, id := range []string{final.OutputFileID, final.ErrorFileID} {
		if id == "" {
			continue
		}
		if err := s.join(base, id, p); err != nil {
			s.endAll(p, standpoint.ConnectionLost, err)
			return
		}
	}
	// What is in neither file of a batch that did not complete was never run.
	code := standpoint.TurnedAway
	if final.Status == "completed" {
		code = standpoint.ConnectionLost
	}
	s.endAll(p, code, errors.New("no result for the line in a batch that is "+final.Status))
}

// begin uploads the file and has its batch made. Both are asked of the attempts as their first byte is written: where one may not
// begin any more, for its client has gone or the server is leaving, it is dropped, and the file made anew of the others.
func (s *batchServer) begin(base string, p *parcel) (made remote, status int, err error) {
	for {
		for id, a := range p.attempts {
			if a.MayBegin() != nil {
				s.end(p, id, notBegun(a.Context()))
			}
		}
		if len(p.attempts) == 0 {
			return remote{}, 0, nil
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
			s.endAll(p, standpoint.NoConnection, err)
			return remote{}, 0, nil
		}
	}
}

// mayBegin asks whether all attempts that are in the file now may begin.
func (p *parcel) mayBegin() func() error {
	attempts := slices.Collect(maps.Values(p.attempts))
	return func() error {
		for _, a := range attempts {
			if err := a.MayBegin(); err != nil {
				return fmt.Errorf("%w: %w", errNotBegun, err)
			}
		}
		return nil
	}
}

// remote is what this client reads of a batch object.
type remote struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
}

// follow polls the batch until it is over, and has it cancelled once that is wanted.
func (s *batchServer) follow(base, id string, p *parcel) (remote, error) {
	heard := time.Now()
	cancelled := false
	for {
		var b remote
		var err error
		if p.cancel.Err() != nil && !cancelled {
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
		wake := p.cancel.Done()
		if p.cancel.Err() != nil {
			wake = nil
		}
		select {
		case <-time.After(s.Batch.Poll):
		case <-wake:
		}
	}
}

// line is one line of a file sent, or of an output or error file.
type line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method,omitempty"`
	URL      string          `json:"url,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response,omitempty"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error,omitempty"`
}

func (s *batchServer) upload(base string, p *parcel) (string, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := form.CreateFormFile("file", "lines.jsonl")
	if err != nil {
		return "", err
	}
	out := json.NewEncoder(part)
	for id, a := range p.attempts {
		if err := out.Encode(line{CustomID: id, Method: http.MethodPost, URL: a.Request.Work.Target,
			Body: a.Request.Work.Body}); err != nil {
			return "", err
		}
	}
	if err := form.Close(); err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	_, err = s.do(p.mayBegin(), http.MethodPost, base+"/v1/files", form.FormDataContentType(), body.Bytes(), &file)
	return file.ID, err
}

// join ends the attempts whose results a file holds.
func (s *batchServer) join(base, id string, p *parcel) error {
	var raw []byte
	if _, err := s.do(nil, http.MethodGet, base+"/v1/files/"+id+"/content", "", nil, &raw); err != nil {
		return err
	}
	for text := range bytes.Lines(raw) {
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			return fmt.Errorf("line of file %s: %w", id, err)
		}
		a := p.attempts[l.CustomID]
		switch {
		case a == nil:
		case l.Response != nil && l.Response.StatusCode == http.StatusOK:
			s.end(p, l.CustomID, pass(a, l.Response.Body))
		case l.Response != nil && l.Response.StatusCode == http.StatusTooManyRequests,
			l.Error != nil && (l.Error.Code == "batch_cancelled" || l.Error.Code == "batch_expired"):
			s.end(p, l.CustomID, node.Result{Code: standpoint.TurnedAway})
		default:
			s.end(p, l.CustomID, node.Result{Code: standpoint.ServerError})
		}
	}
	return nil
}

// pass hands a whole answer to the client as the events of a stream.
func pass(a *node.Attempt, body json.RawMessage) node.Result {
	var c struct {
		Model   string `json:"model"`
		Choices []struct {
			Message struct{ Content string } `json:"message"`
			Finish  string                   `json:"finish_reason"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if err := json.Unmarshal(body, &c); err != nil || len(c.Choices) == 0 {
		return node.Result{Code: standpoint.ServerError}
	}
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index  int    `json:"index"`
		Delta  delta  `json:"delta"`
		Finish string `json:"finish_reason"`
	}
	type event struct {
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}
	raw, err := json.Marshal(event{c.Model, []choice{{0, delta{c.Choices[0].Message.Content},
		c.Choices[0].Finish}}, c.Usage})
	if err != nil {
		return node.Result{Code: standpoint.ServerError}
	}
	events := append(append([]byte("data: "), raw...), "\n\ndata: [DONE]\n\n"...)
	if !a.Claim() {
		return node.Result{Code: failure(a.Context(), true, nil)}
	}
	end := tail{}
	if err := end.note(events); err != nil {
		return node.Result{Code: standpoint.ServerError}
	}
	if a.Forward(events) != nil {
		return node.Result{Code: standpoint.Cancelled}
	}
	return node.Result{Code: standpoint.Served, CachedTokens: end.kept}
}

func (s *batchServer) end(p *parcel, id string, r node.Result) {
	p.attempts[id].Finish(r)
	delete(p.attempts, id)
}

// endAll ends what is left. A given-up attempt keeps the reason for which it was given up.
func (s *batchServer) endAll(p *parcel, code standpoint.Code, err error) {
	if len(p.attempts) > 0 {
		s.Log.Info("attempts of a file failed", zap.String("server", s.name), zap.Int("lines", len(p.attempts)),
			zap.Stringer("code", code), zap.Error(err))
	}
	for id, a := range p.attempts {
		r := node.Result{Code: code}
		if a.Context().Err() != nil && !code.NeverRan() {
			r.Code = failure(a.Context(), true, nil)
		}
		s.end(p, id, r)
	}
}

// call sends a small object and reads one. Status 0: no answer came.
func (s *batchServer) call(method, url string, send, receive any) (int, error) {
	return s.callIf(nil, method, url, send, receive)
}

// callIf is call where may, if not nil, is asked as the first byte is written.
func (s *batchServer) callIf(may func() error, method, url string, send, receive any) (int, error) {
	var body []byte
	if send != nil {
		var err error
		if body, err = json.Marshal(send); err != nil {
			return 0, err
		}
	}
	return s.do(may, method, url, "application/json", body, receive)
}

// do makes a call, once more where a kept connection took nothing of it.
func (s *batchServer) do(may func() error, method, url, contentType string, body []byte, receive any) (status int, err error) {
	for range 1 + freshTries {
		if status, err = s.doOnce(may, method, url, contentType, body, receive); !errors.Is(err, errSpent) {
			break
		}
		s.client.CloseIdleConnections()
	}
	return status, err
}

func (s *batchServer) doOnce(may func() error, method, url, contentType string, body []byte, receive any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	if may != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if l, ok := info.Conn.(*connection); ok {
				l.begin(0, may)
			}
		}})
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil // no silent resends: a batch must not be made twice
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, answerMost))
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	switch to := receive.(type) {
	case nil:
	case *[]byte:
		*to = raw
	default:
		return response.StatusCode, json.Unmarshal(raw, receive)
	}
	return response.StatusCode, nil
}
