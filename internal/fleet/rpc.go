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
	callTimeout        = 1500 * time.Millisecond // after which a response is not waited for any more
	maxConcurrentCalls = 32                      // of other nodes that are handled at once
)

// rpcRequest calls a method of another node, mostly one that only the store's leader has. It may be carried out
// although its response is lost, so methods have to be idempotent.
type rpcRequest struct {
	ID     uint64 `cbor:"1,keyasint"`
	From   int    `cbor:"2,keyasint"` // the caller's slot
	Method string `cbor:"3,keyasint"`
	Body   []byte `cbor:"4,keyasint"` // JSON
}

type rpcResponse struct {
	ID        uint64 `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint"` // JSON
	Error     string `cbor:"3,keyasint,omitempty"`
	NotLeader bool   `cbor:"4,keyasint,omitempty"` // nothing was done: the node does not lead
	Leader    string `cbor:"5,keyasint,omitempty"` // the node that does, as far as known there
}

// ErrNoLeader is returned where no leader can be reached: this node can neither know nor change what the fleet
// agrees on.
var ErrNoLeader = errors.New("no leader of the store can be reached")

// RejectedError is returned where another node has rejected a call.
type RejectedError struct {
	Method string
	Reason string
}

// Error implements error. It is the reason alone, as the other node gave it.
func (e *RejectedError) Error() string { return e.Reason }

// handlerFunc carries out a call. Its body and its result are JSON.
type handlerFunc func(ctx context.Context, body []byte) ([]byte, error)

// handler is a method that other nodes may call.
type handler struct {
	handle      handlerFunc
	onAnyMember bool // false: only where this node leads
}

// HandleOnLeader registers a method that other nodes may call while this node leads.
func (f *Fleet) HandleOnLeader(method string, handle func(context.Context, []byte) ([]byte, error)) {
	f.register(method, handler{handle: handle})
}

// HandleOnAnyMember registers a method that other nodes may call whether or not this node leads.
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

func (f *Fleet) handlerOf(method string) handler {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	return f.handlers[method]
}

// CallMember calls a method of the node in a slot. in is encoded as JSON, and the result decoded into out. The
// error is a *RejectedError where that node has rejected the call, and wraps ErrNoLeader where it cannot be
// reached.
func (f *Fleet) CallMember(ctx context.Context, slotName, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	slot := f.slotIndex(slotName)
	if slot < 0 || slot == f.MemberConfig.Owner.Slot {
		return fmt.Errorf("%q is no other seat", slotName)
	}
	response, err := f.roundTrip(ctx, slot, method, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(response.Body, out)
}

// CallLeader calls a method of the store's leader, which may be this node. in is encoded as JSON, and the result
// decoded into out, if that is not nil. An error that is no *RejectedError leaves open whether the call was carried
// out.
func (f *Fleet) CallLeader(ctx context.Context, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	var result []byte
	if _, leads := f.Store.Leadership(); leads && !f.IsSite() {
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

// callRemoteLeader calls the leader of the core's store. A site that does not know it asks a core node, which names it.
func (f *Fleet) callRemoteLeader(ctx context.Context, method string, body []byte) ([]byte, error) {
	leader := f.presumedLeader()
	for range 2 {
		slot := f.slotIndex(leader)
		if slot < 0 || slot == f.MemberConfig.Owner.Slot {
			break
		}
		response, err := f.roundTrip(ctx, slot, method, body)
		if err != nil || !response.NotLeader {
			f.rememberLeader(leader, err == nil)
			return response.Body, err
		}
		f.rememberLeader(leader, false)
		if !f.IsSite() || response.Leader == "" {
			break
		}
		leader = response.Leader
	}
	return nil, ErrNoLeader
}

// presumedLeader is the node to call first: the leader as far as known, or, at a site that does not know it, any
// core node.
func (f *Fleet) presumedLeader() string {
	if !f.IsSite() {
		return f.Store.Leader()
	}
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	if f.coreLeader != "" {
		return f.coreLeader
	}
	return f.CoreSlots[rand.IntN(len(f.CoreSlots))]
}

// rememberLeader notes whether a node answered as the leader. Where it did not the leader is not known.
func (f *Fleet) rememberLeader(name string, leads bool) {
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
	go func() { sent <- f.sendReliable(slot, kindRequest, request) }() // it ends by the library's timeout
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

// beginCall registers a call, so that handleResponse hands its response on.
func (f *Fleet) beginCall() (id uint64, responses chan rpcResponse) {
	responses = make(chan rpcResponse, 1)
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.nextCallID++
	f.pendingCalls[f.nextCallID] = responses
	return f.nextCallID, responses
}

func (f *Fleet) endCall(id uint64) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	delete(f.pendingCalls, id)
}

// sendReliable sends a message over TCP. It returns an error where the library could not bring it to the node.
func (f *Fleet) sendReliable(slot int, kind byte, message any) error {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	f.sentBytes.Add(uint64(len(encoded)))
	return f.memberlist.SendReliable(f.memberNode(slot), frame(kind, encoded))
}

// handleRequest carries out a call of another node, on a goroutine of its own. Where too many are being handled the
// request is dropped: its caller hears nothing, and calls again.
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
		response := f.carryOut(ctx, request)
		if err := f.sendReliable(request.From, kindResponse, response); err != nil {
			f.Log.Info("response not sent", zap.String("to", f.Slots[request.From].Name), zap.Error(err))
		}
	}()
}

// carryOut calls the handler of a request.
func (f *Fleet) carryOut(ctx context.Context, request rpcRequest) rpcResponse {
	response := rpcResponse{ID: request.ID}
	h := f.handlerOf(request.Method)
	_, leads := f.Store.Leadership()
	if h.handle == nil {
		response.Error = fmt.Sprintf("nobody here does %q", request.Method)
		return response
	}
	if !h.onAnyMember && (!leads || f.IsSite()) {
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

// handleResponse hands a response to the call that waits for it.
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
	default: // it has a response already
	}
}
