package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"standpoint/internal/store"
)

const (
	callTimeout        = 1500 * time.Millisecond // maximum time of a call, at its caller and at its handler
	maxConcurrentCalls = 32                      // maximum number of calls of other nodes handled at once
)

// rpcRequest is a call of a method of another node, in most cases one that only the store's leader handles. The call
// may be handled although its response is lost, so methods must be idempotent.
type rpcRequest struct {
	ID     uint64 `cbor:"1,keyasint"`
	From   int    `cbor:"2,keyasint"` // index of the caller's slot
	Method string `cbor:"3,keyasint"`
	Body   []byte `cbor:"4,keyasint"` // arguments, as JSON
}

// rpcResponse is the response to an rpcRequest.
type rpcResponse struct {
	ID        uint64 `cbor:"1,keyasint"`           // ID of the request
	Body      []byte `cbor:"2,keyasint"`           // result, as JSON
	Error     string `cbor:"3,keyasint,omitempty"` // why the call was rejected; "" if it was not
	NotLeader bool   `cbor:"4,keyasint,omitempty"` // the call was not handled, because the node does not lead
	Leader    string `cbor:"5,keyasint,omitempty"` // the leader's name, if that node knows it
}

// ErrNoLeader is returned if no leader can be reached. Without one, this node can neither read nor change the state
// that the fleet agrees on.
var ErrNoLeader = errors.New("no leader of the store can be reached")

// RejectedError is returned if another node has rejected a call.
type RejectedError struct {
	Method string
	Reason string // error text of the other node
}

// Error implements error. It returns the reason alone, as the other node gave it.
func (e *RejectedError) Error() string { return e.Reason }

// handlerFunc handles a call. Its body and its result are JSON.
type handlerFunc func(ctx context.Context, body []byte) ([]byte, error)

// handler is a method that other nodes may call.
type handler struct {
	handle      handlerFunc
	onAnyMember bool // whether the method is handled even if this node does not lead
}

// HandleOnLeader registers a method that other nodes may call while this node is the store's leader.
func (f *Fleet) HandleOnLeader(method string, handle func(context.Context, []byte) ([]byte, error)) {
	f.register(method, handler{handle: handle})
}

// HandleOnAnyMember registers a method that other nodes may call whether or not this node is the store's leader.
func HandleOnAnyMember[In, Out any](f *Fleet, method string, handle func(In) (Out, error)) {
	f.register(method, handler{onAnyMember: true, handle: func(_ context.Context, body []byte) ([]byte, error) {
		var in In
		if err := json.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		out, err := handle(in)
		if err != nil {
			return nil, err
		}
		return json.Marshal(out)
	}})
}

func (f *Fleet) register(method string, h handler) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.handlers[method] = h
}

// handlerOf returns the handler of a method. Its handle is nil if there is none.
func (f *Fleet) handlerOf(method string) handler {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	return f.handlers[method]
}

// CallMember calls a method of the node in another slot, which must be registered there with HandleOnAnyMember. It
// encodes in as JSON, and decodes the result into out. The error is a *RejectedError if that node rejected the call,
// and wraps ErrNoLeader if it cannot be reached.
func (f *Fleet) CallMember(ctx context.Context, slotName, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	slot := f.slotIndex(slotName)
	if slot < 0 || slot == f.MemberConfig.Owner.Slot {
		return fmt.Errorf("%q is not another member slot", slotName)
	}
	response, err := f.roundTrip(ctx, slot, method, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(response.Body, out)
}

// CallLeader calls a method of the store's leader, which may be this node. It encodes in as JSON, and decodes the
// result into out unless that is nil. After an error other than a *RejectedError, the call may or may not have been
// handled.
func (f *Fleet) CallLeader(ctx context.Context, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	var result []byte
	if _, leads := f.Store.Leadership(); leads && !f.IsRemoteSite() {
		result, err = f.handlerOf(method).handle(ctx, body)
	} else {
		result, err = f.callRemoteLeader(ctx, method, body)
	}
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(result, out)
}

// callRemoteLeader calls a method of the store's leader, which is another node. A remote site that does not know the
// leader calls a core node. If the response names another node as the leader, it calls that one, once.
func (f *Fleet) callRemoteLeader(ctx context.Context, method string, body []byte) ([]byte, error) {
	leader := f.presumedLeader()
	for range 2 {
		slot := f.slotIndex(leader)
		if slot < 0 || slot == f.MemberConfig.Owner.Slot {
			break
		}
		response, err := f.roundTrip(ctx, slot, method, body)
		if err != nil || !response.NotLeader {
			f.recordLeader(leader, err == nil)
			return response.Body, err
		}
		f.recordLeader(leader, false)
		if !f.IsRemoteSite() || response.Leader == "" {
			break
		}
		leader = response.Leader
	}
	return nil, ErrNoLeader
}

// presumedLeader returns the node to call first: the leader if it is known, else, at a remote site, a random core
// node.
func (f *Fleet) presumedLeader() string {
	if !f.IsRemoteSite() {
		return f.Store.Leader()
	}
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	if f.coreLeader != "" {
		return f.coreLeader
	}
	return f.CoreSlots[rand.IntN(len(f.CoreSlots))]
}

// recordLeader records whether a call that was sent to a node as the leader succeeded. If it did not, the core's leader
// counts as unknown.
func (f *Fleet) recordLeader(name string, leads bool) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.coreLeader = ""
	if leads {
		f.coreLeader = name
	}
}

// roundTrip sends a request to a slot, and waits for the response.
func (f *Fleet) roundTrip(ctx context.Context, slot int, method string, body []byte) (rpcResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, responses := f.beginCall()
	defer f.endCall(id)
	request := rpcRequest{ID: id, From: f.MemberConfig.Owner.Slot, Method: method, Body: body}
	sent := make(chan error, 1)
	go func() { sent <- f.sendReliable(slot, kindRequest, request) }() // bounded by the library's timeout
	for {
		select {
		case <-ctx.Done():
			return rpcResponse{}, fmt.Errorf("%w: no answer from %s", ErrNoLeader, f.Slots[slot].Name)
		case err := <-sent:
			if err != nil {
				return rpcResponse{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
			}
		case response := <-responses:
			if response.Error != "" {
				return response, &RejectedError{Method: method, Reason: response.Error}
			}
			return response, nil
		}
	}
}

// beginCall registers a call. handleResponse sends its response to the returned channel.
func (f *Fleet) beginCall() (id uint64, responses chan rpcResponse) {
	responses = make(chan rpcResponse, 1)
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.latestCallID++
	f.pendingCalls[f.latestCallID] = responses
	return f.latestCallID, responses
}

// endCall removes a call. Responses to it are ignored from then on.
func (f *Fleet) endCall(id uint64) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	delete(f.pendingCalls, id)
}

// sendReliable sends a message to a slot over TCP. It returns an error if the library could not deliver it.
func (f *Fleet) sendReliable(slot int, kind byte, message any) error {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	f.sentBytes.Add(uint64(len(encoded)))
	return f.memberlist.SendReliable(f.memberNode(slot), frame(kind, encoded))
}

// handleRequest handles a call of another node on a goroutine of its own. If maxConcurrentCalls are being handled,
// the request is dropped, and its caller's call times out.
func (f *Fleet) handleRequest(ctx context.Context, encoded []byte) {
	var request rpcRequest
	err := decoding.Unmarshal(encoded, &request)
	if err != nil || request.From < 0 || request.From >= len(f.Slots) || request.From == f.MemberConfig.Owner.Slot {
		f.Log.Info("malformed request", zap.Error(err))
		return
	}
	select {
	case f.callSemaphore <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-f.callSemaphore }()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response := f.dispatch(ctx, request)
		if err := f.sendReliable(request.From, kindResponse, response); err != nil {
			f.Log.Info("response not sent", zap.String("to", f.Slots[request.From].Name), zap.Error(err))
		}
	}()
}

// dispatch calls the handler of a request, and returns the response to send.
func (f *Fleet) dispatch(ctx context.Context, request rpcRequest) rpcResponse {
	response := rpcResponse{ID: request.ID}
	h := f.handlerOf(request.Method)
	_, leads := f.Store.Leadership()
	if h.handle == nil {
		response.Error = fmt.Sprintf("nobody here does %q", request.Method)
		return response
	}
	if !h.onAnyMember && (!leads || f.IsRemoteSite()) {
		response.NotLeader = true
		response.Leader = f.Store.Leader()
		return response
	}
	var err error
	response.Body, err = h.handle(ctx, request.Body)
	switch {
	case errors.Is(err, store.ErrNotLeader):
		response.NotLeader = true
	case err != nil:
		response.Error = err.Error()
	}
	return response
}

// handleResponse passes a response to the call that waits for it.
func (f *Fleet) handleResponse(encoded []byte) {
	var response rpcResponse
	if err := decoding.Unmarshal(encoded, &response); err != nil {
		f.Log.Info("malformed response", zap.Error(err))
		return
	}
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	responses := f.pendingCalls[response.ID]
	if responses == nil {
		return // the call has timed out
	}
	select {
	case responses <- response:
	default: // the call has received a response already
	}
}
