package endpoints

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/store"
)

// For any input from discovery, an endpoint that is used has a name, an address, and a size and start within bounds.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","class":"fast","block":3,` +
			`"health":"ready","share":1.0,"born_ms":5}]}`,
		`{"seq":-1,"hosts":[{"host":"s","health":"gone"},{"host":"","health":"ready"},` +
			`{"host":"t","dial":"x","health":"ready","share":-1,"born_ms":9223372036854775807}]}`,
		`{"hosts":null}`, `[]`, `{"hosts":[{}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, list, _, err := Decode(raw, names)
		for _, decoded := range list.Endpoints {
			possible := decoded.Size >= 0 && decoded.Size <= maxSize && decoded.StartedAt >= 0
			if err != nil || decoded.Name == "" ||
				decoded.State == ready && decoded.Address == "" ||
				decoded.State != gone && !possible {
				t.Fatalf("%+v, %v", decoded, err)
			}
		}
	})
}

// For any value under the list's key in the store, either the whole list is loaded or nothing.
func FuzzCacheLoad(f *testing.F) {
	f.Add([]byte(`[{"host":"a","dial":"127.0.0.1:1","health":"ready","labels":{"v":"1"},` +
		`"until":"2026-12-01T00:00:00Z"}]`))
	f.Add([]byte(`[{"host":"a","health":"ready","born_ms":9223372036854775807},{"host":"b"`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		keyValues := store.NewMemory()
		if _, err := keyValues.Write(t.Context(), store.Op{Key: cacheKey, Data: raw}); err != nil {
			t.Fatal(err)
		}
		list, ok := NewCache(keyValues, zap.NewNop()).Load(time.Now())
		for _, loaded := range list.Endpoints {
			if !ok || loaded.Name == "" || loaded.StartedAt < 0 || loaded.State > gone {
				t.Fatalf("loaded %+v from an invalid list", loaded)
			}
		}
	})
}
