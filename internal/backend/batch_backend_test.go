package backend

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/node"
)

// Guards against a goroutine that does not end because the message that its backend drains comes after the one that it
// was removed, as it may when the mailbox is full.
func TestLateDrainDoesNotUndoRemoval(t *testing.T) {
	t.Parallel()
	file := newBatchFile(nil, nil)
	b := &batchBackend{
		backendHandle: backendHandle{mailbox: make(chan message)},
		client:        &http.Client{},
		gathered:      map[node.Journal][]*node.Attempt{},
		filesInFlight: map[*batchFile]bool{file: true},
		fileEnded:     make(chan *batchFile),
	}
	ended := make(chan struct{})
	go func() {
		b.run("")
		close(ended)
	}()
	b.mailbox <- backendRemoved{}
	b.mailbox <- drainStarted{}
	b.fileEnded <- file
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the goroutine has not ended")
	}
	require.Error(t, file.ctx.Err())
}
