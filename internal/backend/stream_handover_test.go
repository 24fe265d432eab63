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

const wholeAnswer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"6\r\ndata: \r\n1A;ext=1\r\n{\"choices\":[{\"delta\":{}}]}\r\n2\r\n\n\n\r\n000e\r\ndata: [DONE]\n\n\r\n0\r\nTrailer: t\r\n\r\n"

const wholePayload = "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: [DONE]\n\n"

// An answer may be left at any byte: what was read and what the other process reads from there make the whole.
func TestStreamCanBeHandedOverAtAnyByte(t *testing.T) {
	for at := 0; at <= len(wholeAnswer); at++ {
		var c chunkParser
		var payload bytes.Buffer
		take := func(p []byte) { payload.Write(p) }
		require.NoError(t, c.feed([]byte(wholeAnswer[:at]), take))
		raw, err := json.Marshal(c)
		require.NoError(t, err)
		var there chunkParser
		require.NoError(t, json.Unmarshal(raw, &there))
		require.Equal(t, c, there)
		if c.Phase == inHead {
			require.Empty(t, payload.Bytes())
			continue
		}
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, wholeAnswer[at:])
			far.Close()
		}()
		left, err := io.ReadAll(
			&remainder{connection: &connection{Conn: near, idleLimit: &idleLimit{}, chunks: there}, chunks: there},
		)
		require.NoError(t, err, "from byte %d", at)
		require.Equal(t, wholePayload, payload.String()+string(left), "from byte %d", at)
		near.Close()
	}
	for _, bad := range []string{"7fffffffffffffff\r\n", "2000000\r\n", "1\r\nab", string(bytes.Repeat([]byte("0"), 2*maxChunkLine))} {
		c := chunkParser{Phase: inChunkSize}
		require.Error(t, c.feed([]byte(bad), func([]byte) {}), bad)
	}
}

// A server that goes away in the middle has broken the stream off, wherever that is.
func TestHandedOverStreamThatEndsEarlyIsBroken(t *testing.T) {
	begin := len(wholeAnswer) - len("6\r\ndata: \r\n") - 60
	for at := begin; at < len(wholeAnswer)-1; at++ {
		c := chunkParser{}
		require.NoError(t, c.feed([]byte(wholeAnswer[:begin]), func([]byte) {}))
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, wholeAnswer[begin:at])
			far.Close()
		}()
		_, err := io.ReadAll(
			&remainder{connection: &connection{Conn: near, idleLimit: &idleLimit{}, chunks: c}, chunks: c},
		)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "at byte %d", at)
	}
}

func FuzzDecodeStream(f *testing.F) {
	good, _ := json.Marshal(
		Stream{Trace: "t", Class: 1, Chunks: chunkParser{Phase: inChunkData, Size: 7}},
	) // a constant form: cannot fail
	f.Add(good)
	f.Add([]byte(`{"trace":"t","chunks":{"phase":1,"size":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeStream(raw)
		if err != nil {
			return
		}
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, wholeAnswer)
			far.Close()
		}()
		got, _ := io.ReadAll(
			&remainder{
				connection: &connection{Conn: near, idleLimit: &idleLimit{}, chunks: s.Chunks},
				chunks:     s.Chunks,
			},
		) // any end will do
		require.LessOrEqual(t, len(got), len(wholeAnswer))
		near.Close()
	})
}

// An answer that is handed back is read on as long as its server's bytes are there: the end of it may be among them.
func TestHandBackReadsWhatHasArrived(t *testing.T) {
	for name, sent := range map[string]string{"to its end": wholeAnswer, "not to its end": wholeAnswer[:len(wholeAnswer)-40]} {
		near, far := socketPair(t)
		_, err := io.WriteString(far, sent)
		require.NoError(t, err)
		l := &connection{Conn: near, idleLimit: &idleLimit{}}
		require.NoError(t, unreadBytes(near, len(sent)))
		require.True(t, l.endForHandBack())
		require.NoError(t, near.SetReadDeadline(time.Unix(1, 0))) // the time for what is under way is over
		var got bytes.Buffer
		_, err = io.Copy(&got, l)
		require.ErrorIs(t, err, errHandedBack, name)
		require.Equal(t, sent, got.String(), name)
		near.Close()
		far.Close()
	}
}

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

// unreadBytes waits until so many bytes stand in the socket.
func unreadBytes(c net.Conn, n int) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		got, _, _ := syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return got == n
	})
}
