package config

import "time"

// BatchBackend is the section [batch_server]: how backends that take files are driven.
type BatchBackend struct {
	GatherDelay  Duration `toml:"gather"` // for which lines are gathered before a file is sent
	MaxLines     int      `toml:"lines"`  // in a file
	PollInterval Duration `toml:"poll"`   // of a job's state
	LostTimeout  Duration `toml:"lost"`   // without a state, after which a job counts as lost
}

func (b *BatchBackend) setDefaults() {
	setDefault(&b.GatherDelay, Duration(200*time.Millisecond))
	setDefault(&b.MaxLines, 100)
	setDefault(&b.PollInterval, Duration(500*time.Millisecond))
	setDefault(&b.LostTimeout, Duration(10*time.Second))
}

// Batch is the section [batch]: the API for files of requests. The leader keeps it in the store as JSON, under the
// names of the tags.
type Batch struct {
	Enabled            bool        `toml:"enabled" json:"Enabled"`
	MaxConcurrentLines int         `toml:"lines_at_once" json:"LinesAtOnce"` // of all batches together
	LineTimeout        Duration    `toml:"line_time" json:"LineTime"`        // of one attempt, its stream included
	MaxAttempts        int         `toml:"tries" json:"Tries"`               // of a line
	MaxFileMB          int         `toml:"file_mb" json:"FileMB"`
	Fields             BatchFields `toml:"fields" json:"Fields"`     // the metadata keys of a line
	Defaults           BatchFields `toml:"defaults" json:"Defaults"` // for lines without them
}

// BatchFields are the metadata keys, or the defaults, of what a line says about its request.
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

// validateBatch sets the defaults that depend on the classes and tenants, and validates the section where it is
// enabled.
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
		return keyError("batch.defaults.class", "%q is no class of this file", b.Defaults.Class)
	case len(o.Tenants) > 0 && !o.hasTenant(b.Defaults.Tenant):
		return keyError("batch.defaults.tenant", "%q is no tenant of this file", b.Defaults.Tenant)
	case !between(b.MaxConcurrentLines, 1, 256):
		return keyError("batch.lines_at_once", "%d is not from 1 to 256", b.MaxConcurrentLines)
	case b.LineTimeout < Duration(time.Second):
		return keyError("batch.line_time", "shorter than 1s")
	case !between(b.MaxAttempts, 1, 100):
		return keyError("batch.tries", "%d is not from 1 to 100", b.MaxAttempts)
	case !between(b.MaxFileMB, 1, 64):
		return keyError("batch.file_mb", "%d is not from 1 to 64", b.MaxFileMB)
	}
	return nil
}
