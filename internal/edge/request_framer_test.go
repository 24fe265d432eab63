package edge

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestFramer guards against requests that the server holds without anybody knowing: the framer counts those that
// have begun, however the bytes are split over reads.
func TestRequestFramer(t *testing.T) {
	t.Parallel()
	post := "POST / HTTP/1.1\r\nHost: n\r\ncontent-LENGTH: 5\r\nX-Long: " + strings.Repeat("y", 500) + "\r\n\r\nbo\n\r\n"
	get := "\r\nGET / HTTP/1.1\r\nHost: n\r\n\r\n"
	chunked := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		stream string
		begun  int
	}{
		"nothing":              {"", 0},
		"empty lines":          {"\r\n\r\n", 0},
		"one byte":             {"P", 1},
		"a body that goes on":  {post[:len(post)-2], 1},
		"a byte of the next":   {post + "P", 2},
		"three, and a fourth":  {post + get + post + "GE", 4},
		"chunks end the count": {get + chunked + get, 2},
		"a length of no size":  {strings.Replace(post, ": 5", ": five", 1) + get, 1},
	} {
		for size := 1; size <= max(1, len(test.stream)); size++ {
			var f requestFramer
			for rest := test.stream; rest != ""; {
				n := min(size, len(rest))
				f.observe([]byte(rest[:n]))
				rest = rest[n:]
			}
			require.Equal(t, test.begun, f.begun, "%s, in pieces of %d bytes", name, size)
		}
	}
}
