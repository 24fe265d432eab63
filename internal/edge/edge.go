// Package edge is the platform's front: it turns HTTP requests into requests and passes their answers on.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/fleet/session/service"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

const (
	bodyMost   = 256 << 10
	readTime   = 2500 * time.Millisecond // in which a request must have come, head and body
	idleTime   = 5 * time.Second         // for which a client connection is kept between requests
	headMost   = 16 << 10
	tokenChars = 4                     // characters of a prompt's token
	answerMost = 1 << 20               // tokens that may be asked for
	spanMost   = time.Hour             // for which a client may say that it waits
	writeTime  = 4 * time.Second       // for which a client may keep its answer waiting, in all
	margin     = 10 * time.Millisecond // by which the answer comes before the client gives up
	busyWait   = 500 * time.Millisecond
	partTime   = 100 * time.Millisecond  // for what is still on its way of a request that is refused
	awayTime   = 1900 * time.Millisecond // after staff sent clients away, from when those who come all the same are rejected
	chatTarget = "/v1/chat/completions"
)

// Front is the platform's front.
type Front struct {
	Core    *node.Core
	Life    *node.Lifecycle
	Names   config.Names
	Bodies  *node.TenantLimiter // bytes of the bodies that are held at once
	Metrics *metrics.Counters
	// Sessions, if not nil, pause at calls of tools and go on with their results.
	Sessions *service.Service
	Log      *zap.Logger
	ids      ids
	indexes  atomic.Pointer[indexes]
}

// indexes are the module's numbers for the names of classes and tenants.
type indexes struct{ classes, tenants map[string]int }

// NewServer makes the server whose connections the room holds. A client that does not bring its request whole
// within readTime of connecting is shut out: an answer or a close is owed within 3 s.
func NewServer(h http.Handler, room *ConnectionTracker, log *zap.Logger) *http.Server {
	ending := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			cameWhole(r)
		}
		if p, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok {
			ctx, left := context.WithCancel(r.Context())
			defer left()
			defer p.watch(left)()
			r = r.WithContext(ctx)
		}
		if room.filling() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
	return &http.Server{Handler: ending, ReadTimeout: readTime, IdleTimeout: idleTime, MaxHeaderBytes: headMost,
		ConnState: room.ConnState, ErrorLog: zap.NewStdLog(log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		}}
}

// Handler returns the front's HTTP handler.
func (f *Front) Handler() http.Handler {
	f.SetNames(f.Names)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", f.health)
	mux.HandleFunc("POST "+chatTarget, f.chat)
	return mux
}

// SetNames changes the names that requests may give, from the next request on.
func (f *Front) SetNames(names config.Names) {
	f.indexes.Store(&indexes{index(names.Classes), index(names.Tenants)})
	if f.Metrics != nil {
		f.Metrics.SetClasses(names.Classes)
	}
}

func index(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	phase := f.Life.Phase()
	f.parting(w, r, phase)
	if phase != node.Serving && phase != node.HandingOver { // handing over, it is another process of this node that serves
		refuse(w, http.StatusServiceUnavailable, "node is "+phase.String())
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parting has an answer end its connection once clients are to go elsewhere: they would go on using those that stay open.
func (f *Front) parting(w http.ResponseWriter, r *http.Request, phase node.Phase) {
	p, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	switch {
	case phase <= node.Serving:
	case ok && p.saidMore(): // the next request has come already, and would be read and not answered
		w.Header().Del("Connection")
	default:
		w.Header().Set("Connection", "close")
	}
}

// refuse writes a small answer in the form that clients of the chat API read.
func refuse(w http.ResponseWriter, status int, text string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
		} `json:"error"`
	}
	body.Error.Message, body.Error.Type = text, "invalid_request_error"
	if status >= 500 || status == http.StatusTooManyRequests {
		body.Error.Type = "server_error"
	}
	raw, _ := json.Marshal(body) // two strings: cannot fail
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// told are the headers that say what a request is; one that says it twice says nothing.
var told = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Props", "X-Second-Try", "Content-Type", resumeKey, cancelKey}

var traceForm = regexp.MustCompile(`^[0-9A-Za-z._-]{1,64}$`)

// fault is a malformed request, answered at once and never sent on.
type fault struct {
	status int
	text   string
}

// cause is by what it is counted.
func (f *fault) cause() metrics.UnsentCause {
	switch f.status {
	case http.StatusConflict:
		return metrics.DuplicateID
	case http.StatusRequestTimeout:
		return metrics.SlowBody
	}
	return metrics.Malformed
}

func (f *fault) Error() string { return f.text }

func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	control := http.NewResponseController(w)
	f.parting(w, r, f.Life.Phase())
	request, err := f.decode(r, began)
	if err == nil {
		of := &counted{ReadCloser: r.Body, bodies: f.Bodies, tenant: request.Tenant}
		defer of.give()
		r.Body = of
		var body []byte
		var c chat
		body, c, err = readBody(w, r)
		if err == nil {
			c.bound(&request)
			// readTime is for the request; from here on the server must be able to notice a client that leaves.
			_ = control.SetReadDeadline(time.Time{})
			phase, since := f.Life.Since()
			if f.parting(w, r, phase); phase == node.ManuallyDrained && time.Since(since) > awayTime {
				f.ended(r, metrics.Rejected)
				turnDown(w, busyWait)
				return
			}
			trace := r.Header.Get("X-Trace-Id")
			if f.ids.open(trace, began) {
				defer f.ids.close(trace)
				f.serve(w, r, control, request, node.Work{Body: body, MaxTokens: c.most()})
				return
			}
			err = &fault{http.StatusConflict, "X-Trace-Id: that of another request"}
		}
	}
	if errors.Is(err, errFull) {
		f.ended(r, metrics.Rejected)
		w.Header().Set("Connection", "close") // the rest of its body is not read
		turnDown(w, busyWait)
		return
	}
	var bad *fault
	if !errors.As(err, &bad) {
		panic(http.ErrAbortHandler) // the client broke off its own request
	}
	if r.ContentLength < 0 || bad.status == http.StatusRequestTimeout {
		w.Header().Set("Connection", "close") // where its body ends is not to be trusted, and the rest is not waited for
		_ = control.SetReadDeadline(time.Now().Add(partTime))
	}
	f.ended(r, metrics.Failed)
	f.Metrics.CountFailedUnsent(bad.cause())
	f.Log.Info("malformed request", zap.String("fault", bad.text))
	refuse(w, bad.status, bad.text)
}

// ended counts a request that is answered before it is a request, where its class is known.
func (f *Front) ended(r *http.Request, e metrics.Outcome) {
	if class, ok := f.indexes.Load().classes[r.Header.Get("X-Qos")]; ok {
		f.Metrics.CountRequest(class, e)
	}
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, control *http.ResponseController,
	request standpoint.Request, work node.Work) {
	work.Method, work.Target = r.Method, r.URL.RequestURI()
	work.TraceID, work.ContentType = r.Header.Get("X-Trace-Id"), r.Header.Get("Content-Type")
	at, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	flow := node.NewRequest(request, work, &connection{w: w, control: control, conn: at, chunked: r.ProtoAtLeast(1, 1)})
	if answered := f.session(w, r, flow); answered {
		return
	}
	answer, err := f.Core.Serve(r.Context(), flow)
	if err != nil {
		answer = node.Answer{Kind: node.Rejected, Wait: busyWait}
	}
	switch answer.Kind {
	case node.Served:
		_ = control.SetWriteDeadline(time.Now().Add(writeTime)) // the last chunk has its own time, whatever the events took
	case node.Moved:
	case node.Broken, node.ClientGone:
		panic(http.ErrAbortHandler) // the connection ends without the last chunk, or any answer: an empty one would be nobody's
	case node.Rejected:
		turnDown(w, answer.Wait)
	case node.Invalid:
		refuse(w, answer.Status, "a backend found the request itself wrong")
	default:
		refuse(w, http.StatusBadGateway, "failed")
	}
}

// counted is a body whose bytes count as they come: one that is announced and does not come takes nothing.
type counted struct {
	io.ReadCloser
	bodies *node.TenantLimiter
	tenant int
	taken  int
}

var errFull = errors.New("no room for further bodies")

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.ReadCloser.Read(b)
	if n > 0 {
		if !c.bodies.Acquire(c.tenant, n) {
			return 0, errFull
		}
		c.taken += n
	}
	return n, err
}

func (c *counted) give() { c.bodies.Release(c.tenant, c.taken) }

// turnDown refuses, and says when to come back, if the module says so.
func turnDown(w http.ResponseWriter, wait time.Duration) {
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	refuse(w, http.StatusServiceUnavailable, "turned down; trying again is harmless")
}

// chat is what is read of a body; a backend gets it as it came.
type chat struct {
	Messages *[]struct {
		Content text `json:"content"`
	} `json:"messages"`
	MaxTokens json.RawMessage `json:"max_tokens"`
	odd       int             // characters of a body whose messages have another form; whether it is a good one is the backend's to say
}

// text is the number of characters of a content: of a string, or of the parts as they stand.
type text int

// UnmarshalJSON implements json.Unmarshaler. It counts where the value stands: bodies are long, and are not copied for it.
func (t *text) UnmarshalJSON(raw []byte) error {
	*t = text(len(raw))
	if raw[0] != '"' {
		return nil
	}
	*t = 0
	for i := 1; i < len(raw)-1; i++ {
		switch c := raw[i]; {
		case c == '\\' && raw[i+1] == 'u':
			i += 5
		case c == '\\':
			i++
		case c&0xc0 == 0x80: // a character's further bytes
			continue
		}
		*t++
	}
	return nil
}

// bound holds the lengths that a client tells against the body that it sent. They decide which box others are sent to
// and what all learn, and one who tells 60,000 tokens, or one, of a short prompt costs nobody but himself by the body.
// Tokens are counted here by characters, so a told length may be up to twice, and down to half of that.
func (c *chat) bound(q *standpoint.Request) {
	chars, first := float64(c.odd), float64(c.odd)
	for i, m := range *c.Messages {
		if chars += float64(m.Content); i == 0 {
			first = chars
		}
	}
	within := func(told, chars float64) float64 { return max(chars/tokenChars/2, min(told, 1+2*chars/tokenChars)) }
	q.PromptTokens = within(q.PromptTokens, chars)
	if q.PrefixTokens > 0 {
		q.PrefixTokens = min(q.PrefixTokens, q.PromptTokens, 1+2*first/tokenChars)
	}
	if c.most() > 0 {
		q.MaxTokens = c.most() // what the backend goes by
	}
}

// most is how many tokens the body allows for the answer; 0: it does not say.
func (c *chat) most() float64 {
	if most, err := tokens(string(c.MaxTokens), answerMost); err == nil && most >= 1 {
		return most
	}
	return 0
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, chat, error) {
	var c chat
	if r.ContentLength > bodyMost {
		return nil, c, &fault{http.StatusRequestEntityTooLarge, "body: larger than 256 KiB"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, c, &fault{http.StatusRequestEntityTooLarge, "body: larger than 256 KiB"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, c, &fault{http.StatusRequestTimeout, "body: did not come in time"}
	}
	if err != nil {
		return nil, c, err
	}
	cameWhole(r)
	var form *json.UnmarshalTypeError
	if err = json.Unmarshal(body, &c); errors.As(err, &form) {
		c.odd, err = len(body), nil
	}
	if err != nil || c.Messages == nil {
		return nil, c, &fault{http.StatusBadRequest, "body: not a JSON object with messages"}
	}
	return body, c, nil
}

// decode reads the headers into the module's request.
func (f *Front) decode(r *http.Request, began time.Time) (standpoint.Request, error) {
	var q standpoint.Request
	bad := func(header, what string) (standpoint.Request, error) {
		return q, &fault{http.StatusBadRequest, header + ": " + what}
	}
	h := r.Header
	if r.ContentLength < 0 && !plainChunks(r) {
		return q, &fault{http.StatusBadRequest, "Content-Length: beside a Transfer-Encoding"}
	}
	for _, name := range told {
		if len(h[name]) > 1 {
			return bad(name, "repeated")
		}
	}
	if !traceForm.MatchString(h.Get("X-Trace-Id")) {
		return bad("X-Trace-Id", "missing, or not 1 to 64 letters, digits, dots, dashes and underscores")
	}
	var ok bool
	known := f.indexes.Load()
	if q.Class, ok = known.classes[h.Get("X-Qos")]; !ok {
		return bad("X-Qos", fmt.Sprintf("unknown class %q", h.Get("X-Qos")))
	}
	if q.Tenant, ok = known.tenants[h.Get("X-Customer")]; !ok && len(known.tenants) > 0 {
		return bad("X-Customer", fmt.Sprintf("unknown tenant %q", h.Get("X-Customer")))
	}
	var err error
	if q.Session, err = key(h.Get("X-Object")); err != nil {
		return bad("X-Object", "not a hex number of at most 16 digits")
	}
	span, err := span(h.Get("X-Expires-In"))
	if err != nil {
		return bad("X-Expires-In", err.Error())
	}
	q.Expires = f.Core.Expires(began, span-margin)
	for _, prop := range strings.Split(h.Get("X-Props"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(prop), "=")
		switch name {
		case "prefix":
			q.Prefix, err = key(value)
		case "prompt_len":
			q.PromptTokens, err = tokens(value, bodyMost/tokenChars)
		case "prefix_len":
			q.PrefixTokens, err = tokens(value, bodyMost/tokenChars)
		case "max_out":
			q.MaxTokens, err = tokens(value, answerMost)
		}
		if err != nil {
			return bad("X-Props", fmt.Sprintf("%s: %q is no such value", name, value))
		}
	}
	switch h.Get("X-Second-Try") {
	case "1":
		q.Retry = true
	case "again":
		q.Again = true
	}
	return q, nil
}

func key(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 16, 64)
}

// tokens reads a length. What is no number, or more than a body can hold, must not reach the module.
func tokens(s string, most float64) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err == nil && !(n >= 0 && n <= most) {
		err = strconv.ErrRange
	}
	return n, err
}

// span reads a number and its unit: m for milliseconds, u for microseconds.
func span(s string) (time.Duration, error) {
	if s == "" {
		return 0, errors.New("missing")
	}
	unit, known := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	if !known {
		return 0, fmt.Errorf("%q is no positive number with the unit m or u", s)
	}
	n, err := strconv.ParseInt(s[:len(s)-1], 10, 64)
	if err != nil || n <= 0 || n > int64(spanMost/unit) {
		return 0, fmt.Errorf("%q is no positive number with the unit m or u", s)
	}
	return time.Duration(n) * unit, nil
}

// connection is the client connection of one request.
type connection struct {
	w       http.ResponseWriter
	control *http.ResponseController
	conn    *clientConn // nil: none that the room holds
	chunked bool        // the client takes chunks
	patience
}

// patience is what is left of the time for which a client may keep its answer waiting: one for the whole answer, or it
// could take it with each event.
type patience struct{ held time.Duration }

// spend has a write done within what is left.
func (p *patience) spend(deadline func(time.Time) error, write func() error) error {
	from := time.Now()
	_ = deadline(from.Add(writeTime - p.held))
	err := write()
	if wait := time.Since(from); wait > node.MinClientStall {
		p.held += wait
	}
	return err
}

var (
	_ node.ClientConnection   = (*connection)(nil)
	_ node.DisconnectDetector = (*connection)(nil)
	_ node.Detacher           = (*connection)(nil)
)

// Disconnected implements node.DisconnectDetector.
func (c *connection) Disconnected() bool { return c.conn != nil && c.conn.hasLeft() }

func (c *connection) Begin() error {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	return nil
}

// Event writes and flushes at once: an event that waits in a buffer is late. A client that does not read holds a place
// at a backend meanwhile.
func (c *connection) Event(b []byte) error {
	return c.spend(c.control.SetWriteDeadline, func() error {
		if _, err := c.w.Write(b); err != nil {
			return err
		}
		return c.control.Flush()
	})
}
