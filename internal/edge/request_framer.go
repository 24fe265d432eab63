package edge

import (
	"bytes"
	"strconv"
)

// maxFramedLine is the number of bytes stored of a line of a head. It is enough for those that tell the length of a
// body.
const maxFramedLine = 64

// Parts of a head that tell the length of a body.
var (
	headerSeparator      = []byte(":")
	contentLengthName    = []byte("Content-Length")
	transferEncodingName = []byte("Transfer-Encoding")
)

// requestFramer counts the requests that have begun on a connection, from all bytes that were read of it. The server
// may hold bytes of a request that it has not started on. The framer follows the length of each body; after a request
// whose length it does not know, such as one in chunks, it counts no more.
type requestFramer struct {
	begun int // requests of which a byte has been read

	inRequest     bool   // a byte of the current request's head has been read
	line          []byte // the current line of the head, at most maxFramedLine bytes
	contentLength int64  // of the current request
	bodyLeft      int64  // bytes of the current request's body that are yet to be read
	lost          bool   // the end of the current request is unknown
}

// observe follows the next bytes of the connection.
func (f *requestFramer) observe(read []byte) {
	for len(read) > 0 && !f.lost {
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, int64(len(read)))
			f.bodyLeft -= n
			read = read[n:]
			continue
		}
		end := bytes.IndexByte(read, '\n')
		if end < 0 {
			f.addToLine(read)
			return
		}
		f.addToLine(read[:end])
		f.endLine()
		read = read[end+1:]
	}
}

// addToLine adds bytes to the current line. Empty lines before a request do not begin it.
func (f *requestFramer) addToLine(part []byte) {
	if !f.inRequest && beginsRequest(part) {
		f.inRequest = true
		f.begun++
	}
	f.line = append(f.line, part[:min(len(part), maxFramedLine-len(f.line))]...)
}

// beginsRequest reports whether bytes between two requests begin one. Some clients send an empty line behind a body.
func beginsRequest(read []byte) bool { return len(bytes.Trim(read, "\r\n")) > 0 }

// endLine follows the end of a line.
func (f *requestFramer) endLine() {
	line := bytes.TrimSpace(f.line)
	f.line = f.line[:0]
	if len(line) == 0 {
		if f.inRequest {
			f.endHead()
		}
		return
	}
	name, value, _ := bytes.Cut(line, headerSeparator)
	switch {
	case bytes.EqualFold(name, contentLengthName):
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.contentLength = length
		f.lost = err != nil || length < 0
	case bytes.EqualFold(name, transferEncodingName):
		f.lost = true
	}
}

// endHead follows the end of a head. The next byte belongs to the body or to the next request.
func (f *requestFramer) endHead() {
	f.bodyLeft = f.contentLength
	f.contentLength = 0
	f.inRequest = false
}
