package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"standpoint/internal/store"
)

// Prefixes of keys in the store. The parts of a file's content, and the lines of a batch, are numbered from 0.
const (
	batchKeyPrefix  = "batch/"
	fileKeyPrefix   = "file/"
	chunkKeyPrefix  = "data/"
	lineKeyPrefix   = "line/"
	resultKeyPrefix = "result/"
)

func batchKey(id string) string { return batchKeyPrefix + id }
func fileKey(id string) string  { return fileKeyPrefix + id }

// chunkKeys, lineKeys and resultKeys are the prefixes of the keys of one file or batch.
func chunkKeys(id string) string  { return chunkKeyPrefix + id + "/" }
func lineKeys(id string) string   { return lineKeyPrefix + id + "/" }
func resultKeys(id string) string { return resultKeyPrefix + id + "/" }

func chunkKey(id string, n int) string  { return numberedKey(chunkKeys(id), n) }
func lineKey(id string, n int) string   { return numberedKey(lineKeys(id), n) }
func resultKey(id string, n int) string { return numberedKey(resultKeys(id), n) }

func numberedKey(prefix string, n int) string { return fmt.Sprintf("%s%06d", prefix, n) }

// read decodes what a key holds. ok is false where it holds nothing, or what cannot be decoded.
func read[T any](s store.Store, key string) (value T, version uint64, ok bool) {
	raw := s.Get(key)
	ok = raw.Version != 0 && json.Unmarshal(raw.Data, &value) == nil
	return value, raw.Version, ok
}

// list returns the IDs of the keys with a prefix.
func (s *Service) list(prefix string) []string {
	var ids []string
	for _, key := range s.Store.List(prefix) {
		ids = append(ids, strings.TrimPrefix(key, prefix))
	}
	return ids
}

func (s *Service) batch(id string) (b Batch, version uint64, ok bool) {
	return read[Batch](s.Store, batchKey(id))
}

func (s *Service) file(id string) (File, bool) {
	file, _, ok := read[File](s.Store, fileKey(id))
	return file, ok
}

// changeBatch reads, edits and writes a batch until no other writer came between.
func (s *Service) changeBatch(ctx context.Context, id string, edit func(*Batch)) error {
	for {
		b, version, ok := s.batch(id)
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

// deleteOps returns the operations that delete keys.
func deleteOps(keys ...string) []store.Op {
	ops := make([]store.Op, len(keys))
	for i, key := range keys {
		ops[i] = store.Op{Key: key, ExpectedVersion: store.AnyVersion}
	}
	return ops
}
