package batch

import (
	"context"
	"encoding/json"
	"fmt"

	"standpoint/internal/store"
)

// chunkBytes is the maximum size of the part of a file's content that is stored under one key.
const chunkBytes = 256 << 10

// storeFile writes a file. The content is written first, so that a visible file is complete. Chunks that are left after
// a failure are deleted by the next leader.
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

// setWriting records whether this member is writing a file's content.
func (s *Service) setWriting(id string, writing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if writing {
		s.filesBeingWritten[id] = true
	} else {
		delete(s.filesBeingWritten, id)
	}
}

// isWriting reports whether this member is writing a file's content.
func (s *Service) isWriting(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.filesBeingWritten[id]
}

// fileContent returns a file's content. It returns an error if the file or a chunk of its content is not in the store.
func (s *Service) fileContent(id string) ([]byte, error) {
	file, ok := s.loadFile(id)
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

// deleteFile deletes a file, which may be incomplete, in one write.
func (s *Service) deleteFile(ctx context.Context, id string) error {
	keys := append([]string{fileKey(id)}, s.Store.List(fileChunksPrefix(id))...)
	_, err := s.Store.Write(ctx, deleteOps(keys...)...)
	return err
}

// storedBytes returns the total size of all files. Files that are still being written, at most maxUploads, are not
// counted.
func (s *Service) storedBytes() int {
	total := 0
	for _, id := range s.listIDs(fileKeyPrefix) {
		if file, ok := s.loadFile(id); ok {
			total += file.Bytes
		}
	}
	return total
}
