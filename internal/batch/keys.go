package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"standpoint/internal/store"
)

// Prefixes of keys in the store. The chunks of a file's content and the lines of a batch are numbered from 0.
const (
	batchKeyPrefix  = "batch/"
	fileKeyPrefix   = "file/"
	chunkKeyPrefix  = "data/"
	lineKeyPrefix   = "line/"
	resultKeyPrefix = "result/"
	// submissionKeyPrefix is the prefix of the files at batch backends.
	submissionKeyPrefix = "submission/"
)

func batchKey(id string) string { return batchKeyPrefix + id }
func fileKey(id string) string  { return fileKeyPrefix + id }

// fileChunksPrefix, batchLinesPrefix and batchResultsPrefix return the prefix of the keys of one file or batch.
func fileChunksPrefix(id string) string   { return chunkKeyPrefix + id + "/" }
func batchLinesPrefix(id string) string   { return lineKeyPrefix + id + "/" }
func batchResultsPrefix(id string) string { return resultKeyPrefix + id + "/" }

func chunkKey(id string, n int) string  { return numberedKey(fileChunksPrefix(id), n) }
func lineKey(id string, n int) string   { return numberedKey(batchLinesPrefix(id), n) }
func resultKey(id string, n int) string { return numberedKey(batchResultsPrefix(id), n) }

func numberedKey(prefix string, n int) string { return fmt.Sprintf("%s%06d", prefix, n) }

// readJSON decodes the value of a key. ok is false if the key does not exist or its value cannot be decoded.
func readJSON[T any](s store.Store, key string) (value T, version uint64, ok bool) {
	raw := s.Get(key)
	ok = raw.Version != 0 && json.Unmarshal(raw.Data, &value) == nil
	return value, raw.Version, ok
}

// listIDs returns the keys with a prefix, without the prefix.
func (s *Service) listIDs(prefix string) []string {
	var ids []string
	for _, key := range s.Store.List(prefix) {
		ids = append(ids, strings.TrimPrefix(key, prefix))
	}
	return ids
}

func (s *Service) loadBatch(id string) (b Batch, version uint64, ok bool) {
	return readJSON[Batch](s.Store, batchKey(id))
}

func (s *Service) loadFile(id string) (File, bool) {
	file, _, ok := readJSON[File](s.Store, fileKey(id))
	return file, ok
}

// changeBatch reads, edits and writes a batch, and repeats this as long as another writer changes it concurrently.
func (s *Service) changeBatch(ctx context.Context, id string, edit func(*Batch)) error {
	for {
		b, version, ok := s.loadBatch(id)
		if !ok {
			return fmt.Errorf("batch %s is not in the store", id)
		}
		edit(&b)
		raw, err := json.Marshal(b)
		if err != nil {
			return err
		}
		_, err = s.Store.Write(ctx, store.Op{Key: batchKey(id), Data: raw, ExpectedVersion: version})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
}

// deleteOps returns store operations that delete the given keys.
func deleteOps(keys ...string) []store.Op {
	ops := make([]store.Op, len(keys))
	for i, key := range keys {
		ops[i] = store.Op{Key: key, ExpectedVersion: store.AnyVersion}
	}
	return ops
}
