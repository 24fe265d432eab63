package handover

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// A stream is passed over a Unix socket. The sender writes the length of the text in 4 bytes, big endian, with the two
// descriptors as ancillary data, and then the text. What follows depends on the versions of both processes:
//
//   - Passing in two phases: the sender sets the highest bit of the length. The receiver writes agreedByte if it can
//     take over the stream, and does so once it has read committedByte. If the sender ends the connection instead, it
//     keeps the stream.
//   - Passing in one phase, with a process of a version before that: the receiver takes over the stream and then writes
//     acceptedByte.
//
// A receiver that does not take over the stream ends the connection.
const (
	// passTimeout is the maximum time for passing one stream, up to the receiver's response.
	passTimeout = 300 * time.Millisecond
	// maxTextBytes is the maximum length of the text, in bytes.
	maxTextBytes = 1 << 20
	// lengthBytes is the size of the encoded length of the text.
	lengthBytes = 4
	// twoPhaseFlag marks a length whose sender passes the stream in two phases.
	twoPhaseFlag = 1 << 31
	// descriptorsPerPass is the number of descriptors that are sent with a stream: those of its two connections.
	descriptorsPerPass = 2
	// descriptorBytes is the size of a descriptor in the ancillary data, in bytes.
	descriptorBytes = 4
	// acceptedByte is the byte by which the receiver confirms that it has taken over the stream.
	acceptedByte = 'y'
	// agreedByte is the byte by which the receiver declares that it takes over the stream if the sender commits.
	agreedByte = 'a'
	// committedByte is the byte by which the sender gives the stream up to a receiver that has agreed.
	committedByte = 'c'
	// maxConcurrentPasses is the maximum number of streams that a process receives at the same time.
	maxConcurrentPasses = 64
	// twoPhaseVersion is the first version of passing streams that has two phases. A process writes its version into its
	// live file; an empty file stands for version 1.
	twoPhaseVersion = 2
)

var (
	// ErrNoSibling is returned if no other process of the node accepts streams.
	ErrNoSibling = errors.New("no sibling process accepts streams")
	// ErrUncertain is returned if a sibling may have taken over a stream, but has not confirmed it.
	ErrUncertain = errors.New("sibling process may have taken over the stream")
	// errMalformedPass is returned for a message that is not a text with two descriptors.
	errMalformedPass = errors.New("malformed stream message: not a text with two descriptors")
	// errNotAccepted is returned if the handler does not accept a stream.
	errNotAccepted = errors.New("stream not accepted")
	// errNotCommitted is returned if the sender keeps a stream.
	errNotCommitted = errors.New("stream not given up by its sender")
)

// writeVersion writes the version of passing streams into the live file of this process.
func writeVersion(liveFile *os.File) error {
	_, err := liveFile.WriteString(strconv.Itoa(twoPhaseVersion) + "\n")
	return err
}

// passesInTwoPhases reports whether the process with a live file does.
func passesInTwoPhases(livePath string) bool {
	raw, err := os.ReadFile(livePath)
	if err != nil {
		return false
	}
	version, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	return err == nil && version >= twoPhaseVersion
}

// streamMessage is a stream as it is received.
type streamMessage struct {
	text     []byte
	fds      []int // the descriptors of the two connections; may be incomplete after an error
	twoPhase bool
}

// readMessage reads a stream. The caller must close the descriptors, even if there is an error.
func readMessage(conn *net.UnixConn) (message streamMessage, err error) {
	var length [lengthBytes]byte
	ancillary := make([]byte, unix.CmsgSpace(descriptorsPerPass*descriptorBytes))
	n, ancillaryBytes, _, _, err := conn.ReadMsgUnix(length[:], ancillary)
	if err != nil {
		return message, err
	}
	message.fds, err = parseDescriptors(ancillary[:ancillaryBytes])
	encoded := binary.BigEndian.Uint32(length[:])
	message.twoPhase = encoded&twoPhaseFlag != 0
	textBytes := encoded &^ twoPhaseFlag
	if err != nil || n != len(length) || len(message.fds) != descriptorsPerPass || textBytes > maxTextBytes {
		return message, errors.Join(errMalformedPass, err)
	}
	message.text = make([]byte, textBytes)
	_, err = io.ReadFull(conn, message.text)
	return message, err
}

// parseDescriptors returns the descriptors in ancillary data, up to the first error.
func parseDescriptors(ancillary []byte) ([]int, error) {
	messages, err := unix.ParseSocketControlMessage(ancillary)
	if err != nil {
		return nil, err
	}
	var fds []int
	for i := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[i])
		fds = append(fds, descriptors...)
		if err != nil {
			return fds, err
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	return fds, nil
}

// closeDescriptors closes all the descriptors.
func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// shortSocketPath returns another path to the file at path that is short enough for a socket's address. It leads
// through an open descriptor of the file's directory, and is valid until release closes that descriptor.
func shortSocketPath(path string) (short string, release func(), err error) {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	short = "/proc/self/fd/" + strconv.Itoa(int(directory.Fd())) + "/" + filepath.Base(path)
	return short, func() { _ = directory.Close() }, nil
}
