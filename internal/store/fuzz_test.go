package store

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"
)

// Whatever stands in the log or a snapshot, the keys are as they were or as a whole record says, and go on from there.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`[{"key":"a","data":"MQ==","if":0}]`))
	f.Add([]byte(`{"version":3,"applied":2,"values":{"a":{"data":"MQ==","version":3}}}`))
	f.Add([]byte(`{"values":null}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var at atomic.Uint64
		m := stateMachine{newKeyspace(), &at}
		m.Apply(&raft.Log{Index: 1, Data: raw})
		if at.Load() != 1 {
			t.Fatal("an entry that was passed over")
		}
		before := m.version
		if m.Restore(io.NopCloser(bytes.NewReader(raw))) != nil && m.version != before {
			t.Fatal("a snapshot that cannot be read has changed the keys")
		}
		w := m.Apply(&raft.Log{Index: 2, Data: []byte(`[{"key":"z","data":"MQ==","if":18446744073709551615}]`)}).(applyResult)
		if w.err != nil || string(m.Get("z").Data) != "1" {
			t.Fatal("the keys take nothing any more")
		}
	})
}
