package batch

import (
	"context"
	"encoding/json"
	"fmt"

	"standpoint/internal/store"
)

const chunkBytes = 256 << 10 // of a file's content under one key

// storeFile writes a file: its content first, so that a file that can be seen is complete. What it leaves where it
// breaks off is swept by the next leader.
func (s *Service) storeFile(ctx context.Context, file File, content []byte) error {
	s.setWriting(file.ID, true)
	defer s.setWriting(file.ID, false)
	for n := 0; n*chunkBytes < len(content); n++ {
		chunk := content[n*chunkBytes : min(len(content), (n+1)*chunkBytes)]
		op := store.Op{Key: chunkKey(file.ID, n), Data: chunk, ExpectedVersion: store.AnyVersion}
		if _, err := s.Store.Write(ctx, op); err != nil {
			return err
		}
	}
	file.Object = "file"
	file.Bytes = len(content)
	file.CreatedAt = unixNow()
	file.Status = "processed"
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	_, err = s.Store.Write(ctx, store.Op{Key: fileKey(file.ID), Data: raw, ExpectedVersion: store.AnyVersion})
	return err
}

func (s *Service) setWriting(id string, writing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if writing {
		s.writing[id] = true
	} else {
		delete(s.writing, id)
	}
}

// isWriting reports whether this member is writing a file's content.
func (s *Service) isWriting(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writing[id]
}

// fileContent returns a file's content. It is an error where the file, or a part of its content, is not in the store.
func (s *Service) fileContent(id string) ([]byte, error) {
	file, ok := s.file(id)
	if !ok {
		return nil, fmt.Errorf("file %s is not in the store", id)
	}
	content := make([]byte, 0, file.Bytes)
	for n := 0; len(content) < file.Bytes; n++ {
		chunk := s.Store.Get(chunkKey(id, n)).Data
		if len(chunk) == 0 {
			return nil, fmt.Errorf("file %s is not whole", id)
		}
		content = append(content, chunk...)
	}
	return content, nil
}

// deleteFile deletes a file, complete or not, in one write.
func (s *Service) deleteFile(ctx context.Context, id string) error {
	keys := append([]string{fileKey(id)}, s.Store.List(chunkKeys(id))...)
	_, err := s.Store.Write(ctx, deleteOps(keys...)...)
	return err
}

// storedBytes returns the size of all files. Files that are being written do not count yet; there are up to
// maxUploads of them.
func (s *Service) storedBytes() int {
	total := 0
	for _, id := range s.list(fileKeyPrefix) {
		if file, ok := s.file(id); ok {
			total += file.Bytes
		}
	}
	return total
}
