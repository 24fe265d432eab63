// Package golden compares what the program stores, sends and prints with golden files: files written by an earlier
// build, in testdata/golden of the package under test. Only tests use it.
//
// A missing file fails the test, unless UPDATE_GOLDEN is set in the environment: then the file is written. An existing
// file is never overwritten; to change a format on purpose, remove its file first.
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
	goldenDirectory = "testdata/golden"
	updateVariable  = "UPDATE_GOLDEN"
)

// Path returns the path of the golden file called name, relative to the package under test.
func Path(name string) string { return filepath.Join(goldenDirectory, name) }

// Read returns the content of the golden file called name. If the file is missing and UPDATE_GOLDEN is set, Read first
// writes it with the content that write returns.
func Read(t testing.TB, name string, write func() []byte) []byte {
	t.Helper()
	path := Path(name)
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv(updateVariable) != "" {
		content = write()
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, content, 0o644))
		return content
	}
	require.NoError(t, err, "reading a golden file")
	return content
}

// Bytes fails the test unless got equals the content of the golden file called name, byte by byte.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Read(t, name, func() []byte { return got })
	require.Equal(t, string(want), string(got), "%s differs", Path(name))
}

// RoundTrip fails the test unless the golden file called name decodes to value, and value encodes to the file's
// bytes. Every exported field within value must be set, because a field at its zero value does not reveal that its
// encoded name has changed; allowedUnset lists the paths, as returned by UnsetFields, of the fields that need not be
// set.
func RoundTrip[T any](
	t testing.TB,
	name string,
	value T,
	encode func(T) ([]byte, error),
	decode func([]byte) (T, error),
	allowedUnset ...string,
) {
	t.Helper()
	for _, path := range UnsetFields(value) {
		require.Contains(t, allowedUnset, path, "field of the sample value is not set")
	}
	encoded, err := encode(value)
	require.NoError(t, err)
	want := Read(t, name, func() []byte { return encoded })
	decoded, err := decode(want)
	require.NoError(t, err, "decoding %s", Path(name))
	require.Equal(t, value, decoded, "%s decodes to another value", Path(name))
	require.Equal(t, string(want), string(encoded), "value encodes to other bytes than %s", Path(name))
}

// UnsetFields returns the paths of the exported fields within value that have their zero value, such as
// "Lease.ExpiresAt" or "Transfers[0].LastWindow". It also searches within map values and within elements of slices and
// arrays, and returns the paths of those that are zero themselves; but slice and array elements of types such as int or
// string may be zero.
func UnsetFields(value any) []string {
	var paths []string
	collectUnset(reflect.ValueOf(value), "", &paths)
	return paths
}

func collectUnset(value reflect.Value, path string, paths *[]string) {
	if !value.IsValid() || value.IsZero() {
		*paths = append(*paths, path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		collectUnset(value.Elem(), path, paths)
	case reflect.Struct:
		collectUnsetFields(value, path, paths)
	case reflect.Slice, reflect.Array:
		collectUnsetElements(value, path, paths)
	case reflect.Map:
		for _, key := range value.MapKeys() {
			collectUnset(value.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), paths)
		}
	}
}

func collectUnsetFields(value reflect.Value, path string, paths *[]string) {
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
		collectUnset(value.Field(i), name, paths)
	}
}

// collectUnsetElements checks the elements of slices and arrays of composite types. Elements of other types may be
// zero.
func collectUnsetElements(value reflect.Value, path string, paths *[]string) {
	switch value.Type().Elem().Kind() {
	case reflect.Struct, reflect.Pointer, reflect.Map, reflect.Slice:
	default:
		return
	}
	for i := range value.Len() {
		collectUnset(value.Index(i), fmt.Sprintf("%s[%d]", path, i), paths)
	}
}
