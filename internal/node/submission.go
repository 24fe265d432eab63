package node

// Submission describes a file of requests at a batch backend, with what another process needs to find it there.
type Submission struct {
	Key     string `json:"-"` // identifies the submission in its journal; empty until it is recorded
	Backend string `json:"backend"`
	Address string `json:"address"`
	FileID  string `json:"file"` // of the uploaded file
	// BatchID is the ID of the batch that the backend has created of the file; empty while that is not known.
	BatchID string          `json:"batch,omitempty"`
	Lines   []SubmittedLine `json:"lines"`
}

// SubmittedLine identifies an attempt in a submission.
type SubmittedLine struct {
	TraceID string `json:"trace"`             // of the request
	Attempt int    `json:"attempt,omitempty"` // number of the attempt, from 0
}

// Journal records submissions durably, so that another process can recover those of a process that has ended or may no
// longer decide on them.
type Journal interface {
	// Record stores a submission. The first time, it gives the submission its key; later it replaces the stored one. It
	// must succeed before a backend is asked to run the file: otherwise nobody would know of it after this process.
	Record(*Submission) error
	// Released returns a channel that is closed when the submissions belong to another process. This process must leave
	// them to it, and must not cancel them.
	Released() <-chan struct{}
}

// RecoveredSubmission is a submission of an earlier process whose end this process awaits.
type RecoveredSubmission interface {
	// Join blocks until the submission has ended or is released, and then finishes an attempt of it.
	Join(*Attempt)
	// Cancel cancels the batch at the backend. It does not block.
	Cancel()
	// Done returns a channel that is closed when the submission has ended or is released.
	Done() <-chan struct{}
}
