package memory

import (
	"errors"
	"io"
)

// firstBuffer is the initial size of a buffer, in bytes.
const firstBuffer = 2 << 10

// ErrShort is returned if the budget does not allow a larger buffer.
var ErrShort = errors.New("memory is short")

// ReadAll reads to the end of r into a buffer that grows with what has arrived, up to limit bytes. The limit must be
// greater than what r returns. grow charges each buffer before it is allocated, and reports whether it may be.
func ReadAll(r io.Reader, limit int, holder *Holder, grow func(size int) bool) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := min(limit, max(firstBuffer, 2*cap(buffer)))
			if !grow(size) {
				return nil, ErrShort
			}
			grown := append(make([]byte, 0, size), buffer...)
			holder.Shrink(cap(buffer))
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
