package config

import "time"

// BatchBackend is the section [batch_server]: how requests are sent to backends that process files of requests.
type BatchBackend struct {
	GatherDelay  Duration `toml:"gather"` // time for which requests are collected before a file is sent
	MaxLines     int      `toml:"lines"`  // maximum number of requests in a file, one a line
	PollInterval Duration `toml:"poll"`   // interval between two polls of a batch that a backend runs
	LostTimeout  Duration `toml:"lost"`   // time without a response to a poll after which the backend counts as lost
}

func (b *BatchBackend) setDefaults() {
	setDefault(&b.GatherDelay, Duration(200*time.Millisecond))
	setDefault(&b.MaxLines, 100)
	setDefault(&b.PollInterval, Duration(500*time.Millisecond))
	setDefault(&b.LostTimeout, Duration(10*time.Second))
}

// Batch is the section [batch]: the API for files of requests. The leader writes it to the store as JSON, with the
// names in the json tags.
type Batch struct {
	Enabled bool `toml:"enabled" json:"Enabled"`
	// MaxConcurrentLines is the maximum number of lines in progress, over all batches.
	MaxConcurrentLines int `toml:"lines_at_once" json:"LinesAtOnce"`
	// LineTimeout bounds one attempt for a line, including its stream.
	LineTimeout Duration    `toml:"line_time" json:"LineTime"`
	MaxAttempts int         `toml:"tries" json:"Tries"`       // maximum number of attempts for a line
	MaxFileMB   int         `toml:"file_mb" json:"FileMB"`    // maximum size of a file, in MiB
	Fields      BatchFields `toml:"fields" json:"Fields"`     // metadata keys that describe a line's request
	Defaults    BatchFields `toml:"defaults" json:"Defaults"` // values for lines without these metadata keys
}

// BatchFields holds a metadata key, or a default value, for each property of a line's request. As a key, MaxTokens is
// not used: that property has only a default, in tokens.
type BatchFields struct {
	Class     string  `toml:"class" json:"Class"`
	Tenant    string  `toml:"tenant" json:"Tenant"`
	Session   string  `toml:"session" json:"Session"`
	Prefix    string  `toml:"prefix" json:"Prefix"`
	MaxTokens float64 `toml:"max_tokens" json:"MaxTokens"`
}

func (b *Batch) setDefaults() {
	setDefault(&b.MaxConcurrentLines, 8)
	setDefault(&b.LineTimeout, Duration(time.Minute))
	setDefault(&b.MaxAttempts, 5)
	setDefault(&b.MaxFileMB, 16)
	setDefault(&b.Fields.Class, "class")
	setDefault(&b.Fields.Tenant, "tenant")
	setDefault(&b.Fields.Session, "session")
	setDefault(&b.Fields.Prefix, "prefix")
	setDefault(&b.Defaults.MaxTokens, 256)
}

// validateBatch sets the defaults that depend on the classes and tenants, and validates the section, if it is enabled.
func (o *OperatorFile) validateBatch() error {
	b := &o.Batch
	if !b.Enabled {
		return nil
	}
	setDefault(&b.Defaults.Class, o.Classes[0].Name)
	if len(o.Tenants) > 0 {
		setDefault(&b.Defaults.Tenant, o.Tenants[0].Name)
	}
	switch {
	case !o.hasClass(b.Defaults.Class):
		return keyError("batch.defaults.class", "%q is not among the class names", b.Defaults.Class)
	case len(o.Tenants) > 0 && !o.hasTenant(b.Defaults.Tenant):
		return keyError("batch.defaults.tenant", "%q is not among the tenant names", b.Defaults.Tenant)
	case !between(b.MaxConcurrentLines, 1, 256):
		return keyError("batch.lines_at_once", "%d is not from 1 to 256", b.MaxConcurrentLines)
	case b.LineTimeout < Duration(time.Second):
		return keyError("batch.line_time", "%v is shorter than 1s", time.Duration(b.LineTimeout))
	case !between(b.MaxAttempts, 1, 100):
		return keyError("batch.tries", "%d is not from 1 to 100", b.MaxAttempts)
	case !between(b.MaxFileMB, 1, 64):
		return keyError("batch.file_mb", "%d is not from 1 to 64", b.MaxFileMB)
	}
	return nil
}
