package endpoints

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/store"
)

// Whatever discovery writes, an entry that is used has a name, an address, a size and a start that are possible.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","class":"fast","block":3,"health":"ready","share":1.0,"born_ms":5}]}`,
		`{"seq":-1,"hosts":[{"host":"s","health":"gone"},{"host":"","health":"ready"},{"host":"t","dial":"x","health":"ready","share":-1,"born_ms":9223372036854775807}]}`,
		`{"hosts":null}`, `[]`, `{"hosts":[{}]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, l, _, err := Decode(raw, names)
		for _, e := range l.Endpoints {
			if err != nil || e.Name == "" || e.State == standpoint.Ready && e.Address == "" || !(e.Size >= 0 && e.Size <= maxSize) && e.State != standpoint.Gone ||
				e.ReadyAt < 0 && e.State != standpoint.Gone {
				t.Fatalf("%+v, %v", e, err)
			}
		}
	})
}

// Whatever stands in the store under the last list's key is a whole list or none.
func FuzzKept(f *testing.F) {
	f.Add([]byte(`[{"host":"a","dial":"127.0.0.1:1","health":"ready","labels":{"v":"1"},"until":"2026-12-01T00:00:00Z"}]`))
	f.Add([]byte(`[{"host":"a","health":"ready","born_ms":9223372036854775807},{"host":"b"`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		keys := store.NewMemory()
		if _, err := keys.Write(t.Context(), store.Op{Key: cacheKey, Data: raw}); err != nil {
			t.Fatal(err)
		}
		l, ok := NewCache(keys, zap.NewNop()).Load(time.Now())
		for _, e := range l.Endpoints {
			if !ok || e.Name == "" || e.ReadyAt < 0 || e.State > standpoint.Gone {
				t.Fatalf("%+v of what cannot be read", e)
			}
		}
	})
}
