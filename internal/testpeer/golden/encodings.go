package golden

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// JSON is RoundTrip with JSON as the encoding.
func JSON[T any](t testing.TB, name string, value T, allowedUnset ...string) {
	t.Helper()
	encode := func(v T) ([]byte, error) { return json.Marshal(v) }
	decode := func(raw []byte) (v T, err error) { return v, json.Unmarshal(raw, &v) }
	RoundTrip(t, name, value, encode, decode, allowedUnset...)
}

// CBOR is RoundTrip with CBOR as the encoding.
func CBOR[T any](t testing.TB, name string, value T, allowedUnset ...string) {
	t.Helper()
	encode := func(v T) ([]byte, error) { return cbor.Marshal(v) }
	decode := func(raw []byte) (v T, err error) { return v, cbor.Unmarshal(raw, &v) }
	RoundTrip(t, name, value, encode, decode, allowedUnset...)
}
