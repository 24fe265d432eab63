package settings

import (
	"testing"

	"github.com/BurntSushi/toml"
)

// A shared document is either rejected, or merged with a node's local file without changing the file's node-local keys.
// Set never returns a document that cannot be parsed.
func FuzzDocument(f *testing.F) {
	f.Add("[module]\ncold_share = 0.5\n[[class]]\nname = \"c\"\n", "module.cold_share", "0.7")
	f.Add("store.kind = \"raft\"\n", "class[0].name", "x")
	f.Add("a = {b = [1, {c = nan}]}\n", "class[99999999999].x", "[")
	const local = "listen = \"127.0.0.1:1\"\n[store]\nkind = \"memory\"\n"
	f.Fuzz(func(t *testing.T, text, path, value string) {
		if next, err := Set(text, path, value); err == nil {
			if _, err := Parse(next); err != nil {
				t.Fatalf("setting %s = %s gives a document that cannot be parsed: %v", path, value, err)
			}
		}
		if _, err := Parse(text); err != nil {
			return
		}
		merged, err := Merge(local, text)
		if err != nil {
			return
		}
		var doc struct{ Listen string }
		if _, err := toml.Decode(merged, &doc); err != nil || doc.Listen != "127.0.0.1:1" {
			t.Fatalf("listen is %q after the merge, error: %v", doc.Listen, err)
		}
	})
}
