package backend

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// completeResponse is a chunked response, preceded by a 1xx response, as on the wire.
const completeResponse = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"6\r\ndata: \r\n1A;ext=1\r\n{\"choices\":[{\"delta\":{}}]}\r\n2\r\n\n\n\r\n" +
	"000e\r\ndata: [DONE]\n\n\r\n0\r\nTrailer: t\r\n\r\n"

// completePayload is the payload of completeResponse.
const completePayload = "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: [DONE]\n\n"

// A response may be handed over at any byte: the payload that was read before and the payload that the other process
// reads from there must together be the complete payload.
func TestStreamCanBeHandedOverAtAnyByte(t *testing.T) {
	for at := 0; at <= len(completeResponse); at++ {
		var parser chunkParser
		var payload bytes.Buffer
		appendPayload := func(p []byte) { payload.Write(p) }
		require.NoError(t, parser.feed([]byte(completeResponse[:at]), appendPayload))
		raw, err := json.Marshal(parser)
		require.NoError(t, err)
		var decoded chunkParser
		require.NoError(t, json.Unmarshal(raw, &decoded))
		require.Equal(t, parser, decoded)
		if parser.Phase == inHead {
			require.Empty(t, payload.Bytes())
			continue
		}
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, completeResponse[at:])
			far.Close()
		}()
		rest, err := io.ReadAll(
			&remainder{connection: &connection{Conn: near, idleLimit: &idleLimit{}, chunks: decoded}, chunks: decoded},
		)
		require.NoError(t, err, "from byte %d", at)
		require.Equal(t, completePayload, payload.String()+string(rest), "from byte %d", at)
		near.Close()
	}
	for _, bad := range []string{
		"7fffffffffffffff\r\n", "2000000\r\n", "1\r\nab", string(bytes.Repeat([]byte("0"), 2*maxChunkLine)),
	} {
		parser := chunkParser{Phase: inChunkSize}
		require.Error(t, parser.feed([]byte(bad), func([]byte) {}), bad)
	}
}

// A backend closes the connection of a handed over stream before its end. Wherever that is, it must be an error.
func TestHandedOverStreamThatEndsEarlyIsBroken(t *testing.T) {
	begin := len(completeResponse) - len("6\r\ndata: \r\n") - 60
	for at := begin; at < len(completeResponse)-1; at++ {
		parser := chunkParser{}
		require.NoError(t, parser.feed([]byte(completeResponse[:begin]), func([]byte) {}))
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, completeResponse[begin:at])
			far.Close()
		}()
		_, err := io.ReadAll(
			&remainder{connection: &connection{Conn: near, idleLimit: &idleLimit{}, chunks: parser}, chunks: parser},
		)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "at byte %d", at)
	}
}

// A stream with any state that DecodeStream accepts can be continued without a panic or surplus payload.
func FuzzDecodeStream(f *testing.F) {
	// Marshal cannot fail for a constant value.
	valid, _ := json.Marshal(Stream{Trace: "t", Class: 1, Chunks: chunkParser{Phase: inChunkData, Size: 7}})
	f.Add(valid)
	f.Add([]byte(`{"trace":"t","chunks":{"phase":1,"size":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeStream(raw)
		if err != nil {
			return
		}
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, completeResponse)
			far.Close()
		}()
		got, _ := io.ReadAll(&remainder{ // with or without an error
			connection: &connection{Conn: near, idleLimit: &idleLimit{}, chunks: s.Chunks},
			chunks:     s.Chunks,
		})
		require.LessOrEqual(t, len(got), len(completeResponse))
		near.Close()
	})
}

// A response that is handed back must be read on while its socket has bytes: the end of the response may be among them.
func TestHandBackReadsWhatHasArrived(t *testing.T) {
	for name, sent := range map[string]string{
		"complete":   completeResponse,
		"incomplete": completeResponse[:len(completeResponse)-40],
	} {
		near, far := socketPair(t)
		_, err := io.WriteString(far, sent)
		require.NoError(t, err)
		conn := &connection{Conn: near, idleLimit: &idleLimit{}}
		require.NoError(t, waitForUnreadBytes(near, len(sent)))
		require.True(t, conn.endForHandBack())
		require.NoError(t, near.SetReadDeadline(time.Unix(1, 0))) // the read deadline has passed
		var got bytes.Buffer
		_, err = io.Copy(&got, conn)
		require.ErrorIs(t, err, errHandedBack, name)
		require.Equal(t, sent, got.String(), name)
		near.Close()
		far.Close()
	}
}

// socketPair returns two connected TCP sockets.
func socketPair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	return near, far
}

// waitForUnreadBytes waits until the socket has n bytes to read.
func waitForUnreadBytes(c net.Conn, n int) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		got, _, _ := syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return got == n
	})
}
