package golden

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// JSON is RoundTrip for a value that is encoded as JSON.
func JSON[T any](t testing.TB, name string, value T, unset ...string) {
	t.Helper()
	encode := func(v T) ([]byte, error) { return json.Marshal(v) }
	decode := func(raw []byte) (v T, err error) { return v, json.Unmarshal(raw, &v) }
	RoundTrip(t, name, value, encode, decode, unset...)
}

// CBOR is RoundTrip for a value that is encoded as CBOR.
func CBOR[T any](t testing.TB, name string, value T, unset ...string) {
	t.Helper()
	encode := func(v T) ([]byte, error) { return cbor.Marshal(v) }
	decode := func(raw []byte) (v T, err error) { return v, cbor.Unmarshal(raw, &v) }
	RoundTrip(t, name, value, encode, decode, unset...)
}
