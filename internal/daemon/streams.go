package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/backend"
	"standpoint/internal/edge"
	"standpoint/internal/handover"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

// streamTransfer describes a stream that is passed to a sibling. It has the names of the class and of the tenant and
// not their indexes, since the sibling's configuration may list them in another order.
type streamTransfer struct {
	Class  string          `json:"class"`
	Tenant string          `json:"tenant,omitempty"` // empty if there is none, or if an older version passes the stream
	Stream json.RawMessage `json:"stream"`
}

// passInterval is the time between two attempts to pass streams that could not be passed, or were not yet to be passed.
const passInterval = 100 * time.Millisecond

// passStreams passes the unfinished streams to the serving sibling, until the context ends. While the sibling does not
// respond, the streams go on in this process.
func (a *assembly) passStreams(ctx context.Context) {
	responded := true
	for first := true; ; first = false {
		err := a.siblings.ProbeReceivers()
		switch {
		case err == nil:
			if count := a.backends.HandOver(a.passStream); first || !responded || count > 0 {
				a.processLog.Info("streams passed to sibling process", zap.Int("streams", count))
			}
		case responded:
			a.processLog.Warn("sibling process does not accept streams, retrying", zap.Error(err))
		}
		responded = err == nil
		if !transient.Sleep(ctx, passInterval) {
			return
		}
	}
}

// passStream passes one stream, with its connections to the client and the backend, to the serving sibling. It is a
// backend.HandOverFunc.
func (a *assembly) passStream(stream backend.Stream, clientFD, backendFD int) error {
	err := a.encodeAndPass(stream, clientFD, backendFD)
	if err != nil {
		a.processLog.Warn("stream not passed", zap.String("trace", stream.Trace), zap.Error(err))
	}
	if errors.Is(err, handover.ErrUncertain) {
		err = errors.Join(backend.ErrHandOverUncertain, err)
	}
	return err
}

func (a *assembly) encodeAndPass(stream backend.Stream, clientFD, backendFD int) error {
	encoded, err := json.Marshal(stream)
	if err != nil {
		return err
	}
	text, err := json.Marshal(streamTransfer{
		Class:  a.front.ClassName(stream.Class),
		Tenant: a.front.TenantName(stream.Tenant),
		Stream: encoded,
	})
	if err != nil {
		return err
	}
	return a.siblings.PassStream(text, clientFD, backendFD)
}

// acceptStreams adopts streams that siblings pass to this process, until the context ends.
func (a *assembly) acceptStreams(ctx context.Context) {
	adopt := func(text []byte, client, backendConn net.Conn) func() {
		return a.adoptStream(ctx, text, client, backendConn)
	}
	if err := a.siblings.AcceptStreams(ctx, a.log, adopt); err != nil {
		a.log.Warn("stream adoption unavailable", zap.Error(err))
	}
}

// adoptStream returns a function that continues a stream of a sibling in a goroutine, or nil if this process cannot
// continue it.
func (a *assembly) adoptStream(ctx context.Context, text []byte, client, backendConn net.Conn) (takeOver func()) {
	transfer, stream, err := decodeTransfer(text)
	if phase := a.lifecycle.Phase(); err != nil || phase > node.ManuallyDrained {
		a.log.Warn("stream not adopted", zap.Stringer("phase", phase), zap.Error(err))
		return nil
	}
	response := edge.AdoptedResponse{
		Client:      client,
		TraceID:     stream.Trace,
		Class:       transfer.Class,
		Tenant:      transfer.Tenant,
		ClientStall: stream.ClientStall,
		MaxTokens:   stream.MaxTokens,
		Begun:       stream.Begun(),
	}
	resume := func(attempt *node.Attempt) { a.backends.ContinueStream(stream, backendConn, attempt) }
	return func() {
		a.adoptedStreams.Go(func() { a.front.Adopt(ctx, response, resume) })
	}
}

func decodeTransfer(text []byte) (streamTransfer, backend.Stream, error) {
	var transfer streamTransfer
	if err := json.Unmarshal(text, &transfer); err != nil {
		return transfer, backend.Stream{}, err
	}
	stream, err := backend.DecodeStream(transfer.Stream)
	return transfer, stream, err
}
