// Package golden compares what the program stores, sends and prints with files that an earlier build wrote, which lie
// under testdata/golden of the package under test. It is for tests alone.
//
// A file that is missing fails the test, unless UPDATE_GOLDEN is set in the environment: then it is written. A file
// that exists is never written over; to change a format on purpose, remove its file first.
package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	directory  = "testdata/golden"
	updateFlag = "UPDATE_GOLDEN"
)

// Path is the place of the golden file called name.
func Path(name string) string { return filepath.Join(directory, name) }

// Read returns the golden file called name. Where it is missing and UPDATE_GOLDEN is set, it is first written with
// what write returns.
func Read(t testing.TB, name string, write func() []byte) []byte {
	t.Helper()
	path := Path(name)
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv(updateFlag) != "" {
		content = write()
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, content, 0o644))
		return content
	}
	require.NoError(t, err, "golden file")
	return content
}

// Bytes fails the test unless got is, byte by byte, the content of the golden file called name.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Read(t, name, func() []byte { return got })
	require.Equal(t, string(want), string(got), "%s differs", Path(name))
}

// RoundTrip fails the test unless the golden file called name decodes to value, and value encodes to the file's
// bytes. Every exported field within value has to be set, since a field at its zero value would not show that its
// name has changed; unset names the paths of those that may be left, as Unset reports them.
func RoundTrip[T any](
	t testing.TB,
	name string,
	value T,
	encode func(T) ([]byte, error),
	decode func([]byte) (T, error),
	unset ...string,
) {
	t.Helper()
	for _, path := range Unset(value) {
		require.Contains(t, unset, path, "a field of the sample that is not set")
	}
	encoded, err := encode(value)
	require.NoError(t, err)
	want := Read(t, name, func() []byte { return encoded })
	decoded, err := decode(want)
	require.NoError(t, err, "decoding %s", Path(name))
	require.Equal(t, value, decoded, "%s means something else", Path(name))
	require.Equal(t, string(want), string(encoded), "%s is encoded otherwise", Path(name))
}

// Unset lists the paths of the exported fields within value that are at their zero value, such as "Lease.Until" or
// "Loans[0].Last".
func Unset(value any) []string {
	var paths []string
	walk(reflect.ValueOf(value), "", &paths)
	return paths
}

func walk(value reflect.Value, path string, paths *[]string) {
	if !value.IsValid() || value.IsZero() {
		*paths = append(*paths, path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		walk(value.Elem(), path, paths)
	case reflect.Struct:
		walkFields(value, path, paths)
	case reflect.Slice, reflect.Array:
		walkElements(value, path, paths)
	case reflect.Map:
		for _, key := range value.MapKeys() {
			walk(value.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), paths)
		}
	}
}

func walkFields(value reflect.Value, path string, paths *[]string) {
	if value.Type() == reflect.TypeFor[time.Time]() {
		return
	}
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		name := field.Name
		if path != "" {
			name = path + "." + name
		}
		walk(value.Field(i), name, paths)
	}
}

// walkElements looks into the elements of slices of structs and the like; elements of plain slices may be zero.
func walkElements(value reflect.Value, path string, paths *[]string) {
	switch value.Type().Elem().Kind() {
	case reflect.Struct, reflect.Pointer, reflect.Map, reflect.Slice:
	default:
		return
	}
	for i := range value.Len() {
		walk(value.Index(i), fmt.Sprintf("%s[%d]", path, i), paths)
	}
}
