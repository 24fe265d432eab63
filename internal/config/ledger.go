package config

import "time"

// Ledger is the section [ledger]: how the usage of each tenant is recorded. Without a directory it is not recorded.
type Ledger struct {
	Dir          string   `toml:"dir"`    // directory of the ledger's files
	MaxMB        int      `toml:"max_mb"` // maximum size of the ledger, in MiB
	SyncInterval Duration `toml:"every"`  // interval between comparisons with another node's ledger
	SyncRate     float64  `toml:"rate"`   // maximum number of entries per second accepted from other nodes
}

func (l *Ledger) setDefaults() {
	setDefault(&l.MaxMB, 256)
	setDefault(&l.SyncInterval, Duration(time.Second))
	setDefault(&l.SyncRate, 2000)
}

// validateLedger sets the defaults of [ledger] and validates it, if it has a directory.
func (o *OperatorFile) validateLedger() error {
	l := &o.Ledger
	if l.Dir == "" {
		return nil
	}
	l.setDefaults()
	switch {
	case o.Fleet.Listen == "":
		return keyError("ledger", "requires [fleet], but fleet.listen is missing")
	case !between(l.MaxMB, 1, 1<<20):
		return keyError("ledger.max_mb", "%d is not from 1 to 1048576", l.MaxMB)
	case !l.SyncInterval.between(10*time.Millisecond, time.Hour):
		return keyError("ledger.every", "%v is not from 10ms to 1h", time.Duration(l.SyncInterval))
	case !between(l.SyncRate, 1, 1e6):
		return keyError("ledger.rate", "%g is not from 1 to 1000000 entries per second", l.SyncRate)
	}
	return nil
}
