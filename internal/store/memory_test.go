package store

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMemoryWritesAllOrNothing(t *testing.T) {
	m := NewMemory()
	version, err := m.Write(t.Context(), Op{Key: "a", Data: []byte("1")})
	require.NoError(t, err)
	_, err = m.Write(t.Context(), Op{
		Key:  "b",
		Data: []byte("2"),
	}, Op{Key: "a", Data: []byte("3"), ExpectedVersion: version + 1})
	require.ErrorIs(t, err, ErrConflict)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "a", conflict.Key)
	require.Zero(t, m.Get("b").Version)
	_, err = m.Write(t.Context(), Op{Key: "a", Data: []byte("3"), ExpectedVersion: version})
	require.NoError(t, err)
	require.Equal(t, "3", string(m.Get("a").Data))
	_, err = m.Write(t.Context(), Op{Key: "a", ExpectedVersion: AnyVersion})
	require.NoError(t, err)
	require.Empty(t, m.List(""))
}
