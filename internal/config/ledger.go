package config

import "time"

// Ledger is the section [ledger]: where the use of each tenant is recorded. Without a directory it is not.
type Ledger struct {
	Dir          string   `toml:"dir"`
	MaxMB        int      `toml:"max_mb"`
	SyncInterval Duration `toml:"every"` // between two comparisons with another node's ledger
	SyncRate     float64  `toml:"rate"`  // entries a second that are accepted from other nodes
}

func (l *Ledger) setDefaults() {
	setDefault(&l.MaxMB, 256)
	setDefault(&l.SyncInterval, Duration(time.Second))
	setDefault(&l.SyncRate, 2000)
}

// validateLedger completes and validates [ledger], where it names a directory.
func (o *OperatorFile) validateLedger() error {
	l := &o.Ledger
	if l.Dir == "" {
		return nil
	}
	l.setDefaults()
	switch {
	case o.Fleet.Listen == "":
		return keyError("ledger", "it needs a [fleet]: fleet.listen is missing")
	case !between(l.MaxMB, 1, 1<<20):
		return keyError("ledger.max_mb", "%d is not from 1 to 1,048,576", l.MaxMB)
	case !l.SyncInterval.between(10*time.Millisecond, time.Hour):
		return keyError("ledger.every", "%v is not from 10ms to 1h", time.Duration(l.SyncInterval))
	case !between(l.SyncRate, 1, 1e6):
		return keyError("ledger.rate", "%g is not from 1 to 1,000,000 entries a second", l.SyncRate)
	}
	return nil
}
