package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"mime/multipart"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// batchFile is one file of attempts. cancel is closed to have what has not run cancelled.
type batchFile struct {
	attempts map[string]*node.Attempt // by custom_id, those without an outcome
	ctx      context.Context
	stop     context.CancelFunc
}

// mayBegin asks whether all attempts that are in the file now may begin.
func (p *batchFile) mayBegin() func() error {
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

// batchLine is one line of a file sent, or of an output or error file.
type batchLine struct {
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

func (s *batchBackend) upload(base string, p *batchFile) (string, error) {
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
		if err := out.Encode(batchLine{CustomID: id, Method: http.MethodPost, URL: a.Request.Work.Target,
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

// joinResults ends the attempts whose results a file holds.
func (s *batchBackend) joinResults(base, id string, p *batchFile) error {
	var raw []byte
	if _, err := s.do(nil, http.MethodGet, base+"/v1/files/"+id+"/content", "", nil, &raw); err != nil {
		return err
	}
	for text := range bytes.Lines(raw) {
		var l batchLine
		if err := json.Unmarshal(text, &l); err != nil {
			return fmt.Errorf("line of file %s: %w", id, err)
		}
		a := p.attempts[l.CustomID]
		switch {
		case a == nil:
		case l.Response != nil && l.Response.StatusCode == http.StatusOK:
			s.finish(p, l.CustomID, forwardAnswer(a, l.Response.Body))
		case l.Response != nil && l.Response.StatusCode == http.StatusTooManyRequests,
			l.Error != nil && (l.Error.Code == "batch_cancelled" || l.Error.Code == "batch_expired"):
			s.finish(p, l.CustomID, node.Result{Code: standpoint.TurnedAway})
		default:
			s.finish(p, l.CustomID, node.Result{Code: standpoint.ServerError})
		}
	}
	return nil
}

// forwardAnswer hands a whole answer to the client as the events of a stream.
func forwardAnswer(a *node.Attempt, body json.RawMessage) node.Result {
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
		return node.Result{Code: failureCode(a.Context(), true, nil)}
	}
	end := answerSummary{}
	if err := end.scan(events); err != nil {
		return node.Result{Code: standpoint.ServerError}
	}
	if a.Forward(events) != nil {
		return node.Result{Code: standpoint.Cancelled}
	}
	return node.Result{Code: standpoint.Served, CachedTokens: end.cachedTokens}
}

func (s *batchBackend) finish(p *batchFile, id string, r node.Result) {
	p.attempts[id].Finish(r)
	delete(p.attempts, id)
}

// finishAll ends what is left. A given-up attempt keeps the reason for which it was given up.
func (s *batchBackend) finishAll(p *batchFile, code standpoint.Code, err error) {
	if len(p.attempts) > 0 {
		s.Log.Info("attempts of a file failed", zap.String("server", s.name), zap.Int("lines", len(p.attempts)),
			zap.Stringer("code", code), zap.Error(err))
	}
	for id, a := range p.attempts {
		r := node.Result{Code: code}
		if a.Context().Err() != nil && !code.NeverRan() {
			r.Code = failureCode(a.Context(), true, nil)
		}
		s.finish(p, id, r)
	}
}
