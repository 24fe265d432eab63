package config

import (
	"fmt"
	"path/filepath"
	"reflect"
	"slices"

	"github.com/BurntSushi/toml"

	"standpoint"
	"standpoint/internal/migration"
	"standpoint/internal/pool"
	"standpoint/internal/transient"
)

// defaultName is the name of a node whose file has none.
const defaultName = "standpoint"

// OperatorFile is the configuration of a node that an operator runs: the sections of the TOML file, and values derived
// from them.
type OperatorFile struct {
	// Name identifies the node in the installation.
	Name string `toml:"name"`
	// Listen is the loopback address for clients, host:port.
	Listen string `toml:"listen"`
	// Console is the loopback address of the operations console, host:port; "" for none.
	Console string `toml:"console"`
	// Seed is the seed of the decision module's random choices.
	Seed int64 `toml:"seed"`
	// Limits are the limits as the file states them; EffectiveLimits includes the defaults.
	Limits       Limits       `toml:"limits"`
	Module       Module       `toml:"module"`
	Log          Log          `toml:"log"`
	Control      Control      `toml:"control"`
	Pools        []Pool       `toml:"pool"`
	Migration    Migration    `toml:"move"`
	Classes      []Class      `toml:"class"`
	Tenants      []Tenant     `toml:"tenant"`
	Endpoints    Endpoints    `toml:"entries"`
	Nodes        Nodes        `toml:"nodes"`
	Metrics      Metrics      `toml:"metrics"`
	Backends     []Backend    `toml:"real_server"`
	BatchBackend BatchBackend `toml:"batch_server"`
	Batch        Batch        `toml:"batch"`
	Store        Store        `toml:"store"`
	Fleet        Fleet        `toml:"fleet"`
	Tools        []Tool       `toml:"tool"`
	Sessions     Sessions     `toml:"sessions"`
	Ledger       Ledger       `toml:"ledger"`

	// The following fields are derived from the keys above.
	Settings        standpoint.Settings `toml:"-"`
	Names           Names               `toml:"-"`
	EffectiveLimits Limits              `toml:"-"`
	PoolSet         *pool.Set           `toml:"-"`
	MigrationPlan   migration.Plan      `toml:"-"` // without the pools, which the start of a migration names
}

// ResolvePath resolves a path from the file against base, the directory of the file. It returns "" and absolute paths
// unchanged.
func (o *OperatorFile) ResolvePath(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}

// ReadOperatorFile reads a file, sets the defaults and validates the values.
func ReadOperatorFile(path string) (OperatorFile, error) {
	raw, err := transient.ReadFile(path)
	if err != nil {
		return OperatorFile{}, fmt.Errorf("operator's file: %w", err)
	}
	return ParseOperatorFile(string(raw))
}

// ParseOperatorFile decodes the text of a file, sets the defaults and validates the values.
func ParseOperatorFile(text string) (OperatorFile, error) {
	var o OperatorFile
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return o, keyError(unknown[0].String(), "unknown key")
	}
	var plain map[string]any
	if _, err := toml.Decode(text, &plain); err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	if key := findNonFinite(plain, ""); key != "" {
		return o, keyError(key, "not a finite number")
	}
	return o, o.complete()
}

// ReloadFile reads the file again for a running process; see ReloadText.
func (o OperatorFile) ReloadFile(path string) (OperatorFile, error) {
	raw, err := transient.ReadFile(path)
	if err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	return o.ReloadText(string(raw))
}

// ReloadText parses a new text of the file for a running process. Backends, classes, tenants, the module and limits may
// change. Listeners and files that the process opened at its start may not change, nor the settings that accepted
// batches depend on. On an error the receiver is returned unchanged.
func (o OperatorFile) ReloadText(text string) (OperatorFile, error) {
	next, err := ParseOperatorFile(text)
	if err != nil {
		return o, err
	}
	if err := o.validateChange(&next); err != nil {
		return o, err
	}
	return next, nil
}

// validateChange returns an error for a change that a running process cannot apply.
func (o *OperatorFile) validateChange(next *OperatorFile) error {
	for _, fixed := range []struct {
		key      string
		old, new any
	}{
		{"name", o.Name, next.Name},
		{"listen", o.Listen, next.Listen},
		{"console", o.Console, next.Console},
		{"entries.source", o.Endpoints.Source, next.Endpoints.Source},
		{"nodes", o.Nodes, next.Nodes},
		{"metrics", o.Metrics, next.Metrics},
		{"batch", o.Batch, next.Batch},
		{"batch_server", o.BatchBackend, next.BatchBackend},
		{"store", o.Store, next.Store},
		{"control", o.Control, next.Control},
		{"fleet", o.Fleet, next.Fleet},
		{"tool", o.Tools, next.Tools},
		{"sessions", o.Sessions, next.Sessions},
		{"ledger", o.Ledger, next.Ledger},
		{"module.zones", o.Names.Zones, next.Names.Zones},
		{"module.kinds", o.Names.Kinds, next.Names.Kinds},
	} {
		if !reflect.DeepEqual(fixed.old, fixed.new) {
			return keyError(fixed.key, "cannot change while the program runs")
		}
	}
	if (len(o.Pools) == 0) != (len(next.Pools) == 0) {
		return keyError("pool", "the first pool cannot be added, nor the last removed, while the program runs")
	}
	sameNames := slices.Equal(o.Names.Classes, next.Names.Classes) && slices.Equal(o.Names.Tenants, next.Names.Tenants)
	if o.Batch.Enabled && !sameNames {
		return keyError("class, tenant", "names cannot change while batch.enabled is true")
	}
	return nil
}

// complete sets the defaults, validates every section, and sets the derived fields. It returns the first error.
func (o *OperatorFile) complete() error {
	o.setDefaults()
	o.EffectiveLimits = o.Limits
	err := firstError(
		o.EffectiveLimits.complete,
		o.validateAddresses,
		o.Module.validate,
		o.validateClasses,
		o.validateEndpoints,
		o.validateBatch,
		o.Store.validate,
		o.Log.validate,
		o.Control.validate,
		o.parsePools,
		o.derivePlan,
		o.validateMigrationMembers,
		o.Metrics.validate,
		o.Nodes.validate,
		o.validateFleet,
		o.validateTools,
		o.validateLedger,
	)
	if err != nil {
		return err
	}
	o.deriveNames()
	o.deriveSettings()
	return nil
}

// setDefaults sets the defaults that do not depend on other sections. Validation sets the others, and the defaults of
// [limits], of [[entries.browse]], of backends, and of sections that a node may do without: [fleet], [ledger], [[tool]]
// and [sessions].
func (o *OperatorFile) setDefaults() {
	setDefault(&o.Name, defaultName)
	o.Module.setDefaults()
	o.Endpoints.setDefaults()
	o.Nodes.setDefaults()
	o.BatchBackend.setDefaults()
	o.Batch.setDefaults()
	setDefault(&o.Store.Kind, StoreMemory)
	o.Log.setDefaults()
	o.Migration.setDefaults()
}

func (o *OperatorFile) validateAddresses() error {
	if err := validateLoopback("listen", o.Listen); err != nil {
		return err
	}
	return validateOptionalLoopback("console", o.Console)
}

// hasClass reports whether the file defines a class with this name.
func (o *OperatorFile) hasClass(name string) bool {
	return slices.ContainsFunc(o.Classes, func(c Class) bool { return c.Name == name })
}

// hasTenant reports whether the file defines a tenant with this name.
func (o *OperatorFile) hasTenant(name string) bool {
	return slices.ContainsFunc(o.Tenants, func(t Tenant) bool { return t.Name == name })
}
