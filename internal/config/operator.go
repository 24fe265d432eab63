package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"standpoint"
	"standpoint/internal/migration"
	"standpoint/internal/pool"
	"standpoint/internal/transient"
)

// Duration is a span in an operator's file, such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Class is a class of requests in an operator's file.
type Class struct {
	Name                   string   `toml:"name"`
	FirstTokenObjective    Duration `toml:"first_token"`
	ObjectivePer1000Tokens Duration `toml:"per_1000_prompt_tokens"`
	TokenGapObjective      Duration `toml:"token_gap"`
	Deadline               Duration `toml:"give_up"`
	Weight                 float64  `toml:"worth"`
	LateWeight             float64  `toml:"late_worth"`
}

// Tenant is a tenant in an operator's file.
type Tenant struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"`
	QuotaRPS float64 `toml:"quota_rps"`
}

// Backend is a real server that an operator's file lists by hand.
type Backend struct {
	Name     string  `toml:"name"`
	Address  string  `toml:"address"`
	Mode     string  `toml:"mode"` // stream or batch
	Zone     string  `toml:"zone"`
	Kind     string  `toml:"kind"`
	Capacity float64 `toml:"size"`
	// Draining has it finish what it has and get nothing new.
	Draining bool `toml:"draining"`
	// StartedAt is its last start; not said: long ago.
	StartedAt time.Time `toml:"started"`
	// Labels are what pools may select by, besides the keys above.
	Labels map[string]string `toml:"labels"`
}

// State is the real server's place in its life.
func (r Backend) State() standpoint.State {
	if r.Draining {
		return standpoint.Draining
	}
	return standpoint.Ready
}

// ReadyAt is its last start in the module's time; 0: long ago.
func (r Backend) ReadyAt() int64 {
	if r.StartedAt.IsZero() {
		return 0
	}
	return r.StartedAt.UnixNano()
}

// Pool is a pool of real servers in an operator's file.
type Pool struct {
	Name     string  `toml:"name"`
	Selector string  `toml:"select"`
	Share    float64 `toml:"share"`
}

// Migration is how traffic moves between pools unless a move's start says otherwise.
type Migration struct {
	Steps       []float64 `toml:"steps"`
	Trickle     float64   `toml:"trickle"`
	Warm        Duration  `toml:"warm"`
	Hold        Duration  `toml:"hold"`
	Samples     int       `toml:"samples"`
	Floor       float64   `toml:"floor"`
	FirstToken  float64   `toml:"first_token"`
	Pace        float64   `toml:"pace"`
	Errors      float64   `toml:"errors"`
	Stall       Duration  `toml:"stall"`
	Alarm       float64   `toml:"alarm"`
	OnWorse     string    `toml:"on_worse"`
	ReturnSteps int       `toml:"return_steps"`
	ReturnEvery Duration  `toml:"return_every"`
}

// Browse is a service in a domain whose instances are real servers.
type Browse struct {
	Server  string `toml:"server"`
	Service string `toml:"service"`
	Domain  string `toml:"domain"`
	Site    string `toml:"site"` // of instances that do not tell theirs
	Subtype string `toml:"subtype"`
	// Updates is how changes are heard of: auto, poll, push or mdns.
	Updates string `toml:"news"`
	// PushAddress is where push is had, host:port; where it is missing the domain's SRV records tell. PushRoot is a file with
	// the root certificates that the server's must come from; without it push goes in the clear, and needs PushAddress.
	PushAddress    string `toml:"push"`
	PushRootFile   string `toml:"push_root"`
	PushServerName string `toml:"push_name"` // that the certificate must have; else the host's
}

// Key names what is browsed, among others and in the store.
func (b Browse) Key() string {
	key := strings.ToLower(b.Service + "." + strings.TrimSuffix(b.Domain, "."))
	if b.Subtype != "" {
		key = strings.ToLower(b.Subtype) + "._sub." + key
	}
	return key
}

// BatchFields are the metadata keys, or the defaults, of what a line says about its flow.
type BatchFields struct {
	Class     string  `toml:"class" json:"Class"`
	Tenant    string  `toml:"tenant" json:"Tenant"`
	Session   string  `toml:"session" json:"Session"`
	Prefix    string  `toml:"prefix" json:"Prefix"`
	MaxTokens float64 `toml:"max_tokens" json:"MaxTokens"`
}

// Member is a member of the store, and where its fronts listen.
type Member struct {
	ID             string `toml:"id"`
	Address        string `toml:"address"`
	FrontAddress   string `toml:"front"`
	ControlAddress string `toml:"control"` // its control interface; needed where pools are moved
	DialAddress    string `toml:"reach"`   // where this node reaches it, if not at its address
}

// OperatorFile is an operator's file.
type OperatorFile struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	// Console is a loopback address where staff call; "" is off.
	Console string `toml:"console"`
	Seed    int64  `toml:"seed"`
	Limits  struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int     `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"limits"`
	Module struct {
		Nodes       int      `toml:"nodes"`
		Ordinal     int      `toml:"ordinal"`
		Zone        string   `toml:"zone"`
		Zones       []string `toml:"zones"`
		Kinds       []string `toml:"kinds"`
		MaxAttempts int      `toml:"max_attempts"`
		DialTimeout Duration `toml:"dial_timeout"`
		ConnIdle    Duration `toml:"conn_idle"`
		WarmUp      Duration `toml:"warm_up"`
		ColdShare   float64  `toml:"cold_share"`
		Resume      bool     `toml:"resume"` // clients of broken streams ask for the rest
	} `toml:"module"`
	Log struct {
		Level string `toml:"level"` // debug, info, warn or error
		Form  string `toml:"form"`  // json or console
	} `toml:"log"`
	Control struct {
		Listen    string `toml:"listen"` // a loopback address, or unix:PATH; "" is off
		TokenFile string `toml:"token_file"`
	} `toml:"control"`
	Pools     []Pool    `toml:"pool"`
	Migration Migration `toml:"move"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Endpoints struct {
		Source  string   `toml:"source"` // list or dns-sd
		Server  string   `toml:"server"`
		Service string   `toml:"service"`
		Domain  string   `toml:"domain"`
		Refresh Duration `toml:"refresh"`
		// Browse has several services and domains; where there are none, the three keys above are the only one.
		Browse []Browse `toml:"browse"`
		// Poll is how often it is asked whether anything has changed.
		Poll Duration `toml:"poll"`
		// GuardPart of the list may go in one step; a greater loss is held for Guard unless the zone's serial went up.
		Guard     Duration `toml:"guard"`
		GuardPart float64  `toml:"guard_part"`
		// A box that went more than FlapMost times of late, each time counting half after FlapHalf, is held back when it
		// returns. FlapHalf of 0 holds nothing.
		FlapHalf *Duration `toml:"flap_half"`
		FlapMost float64   `toml:"flap_most"`
	} `toml:"entries"`
	Nodes   Nodes `toml:"nodes"`
	Metrics struct {
		Listen string `toml:"listen"` // a loopback address for GET /metrics; "" is off
	} `toml:"metrics"`
	Backends     []Backend `toml:"real_server"`
	BatchBackend struct {
		Gather Duration `toml:"gather"`
		Lines  int      `toml:"lines"`
		Poll   Duration `toml:"poll"`
		Lost   Duration `toml:"lost"`
	} `toml:"batch_server"`
	Batch struct {
		Enabled     bool        `toml:"enabled" json:"Enabled"`
		LinesAtOnce int         `toml:"lines_at_once" json:"LinesAtOnce"`
		LineTime    Duration    `toml:"line_time" json:"LineTime"`
		Tries       int         `toml:"tries" json:"Tries"`
		FileMB      int         `toml:"file_mb" json:"FileMB"`
		Fields      BatchFields `toml:"fields" json:"Fields"`
		Defaults    BatchFields `toml:"defaults" json:"Defaults"`
	} `toml:"batch"`
	Store struct {
		Kind      string   `toml:"kind"` // memory or raft
		ID        string   `toml:"id"`
		Dir       string   `toml:"dir"`
		Heartbeat Duration `toml:"heartbeat"` // 0: the library's own times
		Members   []Member `toml:"member"`
		// Settings has the store's shared configuration laid over this file.
		Settings bool `toml:"settings"`
	} `toml:"store"`

	// Fleet is what this node shares with others; without its section it is off.
	Fleet    Fleet    `toml:"fleet"`
	Tools    []Tool   `toml:"tool"`
	Sessions Sessions `toml:"sessions"`
	Ledger   Ledger   `toml:"ledger"`

	// What follows is worked out from the keys above.
	Settings        standpoint.Settings `toml:"-"`
	Names           Names               `toml:"-"`
	EffectiveLimits Limits              `toml:"-"`
	PoolSet         *pool.Set           `toml:"-"`
	MigrationPlan   migration.Plan      `toml:"-"` // without its pools
}

// ResolvePath is a file that the operator's file names, relative to the folder where that stands.
func (o *OperatorFile) ResolvePath(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}

// ReadOperatorFile reads, checks and completes an operator's file.
func ReadOperatorFile(path string) (OperatorFile, error) {
	raw, err := transient.ReadFile(path)
	if err != nil {
		return OperatorFile{}, fmt.Errorf("operator's file: %w", err)
	}
	return ParseOperatorFile(string(raw))
}

// ParseOperatorFile reads, checks and completes an operator's file that is at hand.
func ParseOperatorFile(text string) (OperatorFile, error) {
	var o OperatorFile
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return o, fmt.Errorf("%s: unknown key", unknown[0])
	}
	var plain map[string]any
	if _, err := toml.Decode(text, &plain); err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	if key := findNonFinite(plain, ""); key != "" {
		return o, fmt.Errorf("%s: not a finite number", key)
	}
	return o, o.validate()
}

// findNonFinite is the first key, in order, of a number that no bound holds: TOML has nan and inf. "" where there is none.
func findNonFinite(v any, at string) string {
	switch v := v.(type) {
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return at
		}
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			if key := findNonFinite(v[k], strings.TrimPrefix(at+"."+k, ".")); key != "" {
				return key
			}
		}
	case []map[string]any:
		for i := range v {
			if key := findNonFinite(v[i], fmt.Sprintf("%s[%d]", at, i)); key != "" {
				return key
			}
		}
	case []any:
		for i := range v {
			if key := findNonFinite(v[i], fmt.Sprintf("%s[%d]", at, i)); key != "" {
				return key
			}
		}
	}
	return ""
}

// ReloadFile reads the file again for a program that runs. The real servers, classes, tenants, module and limits may
// change; what the program has bound, opened or promised to batches by its start may not.
func (o OperatorFile) ReloadFile(path string) (OperatorFile, error) {
	raw, err := transient.ReadFile(path)
	if err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	return o.ReloadText(string(raw))
}

// ReloadText is Reread of a file that is at hand.
func (o OperatorFile) ReloadText(text string) (OperatorFile, error) {
	next, err := ParseOperatorFile(text)
	if err != nil {
		return o, err
	}
	for _, fixed := range []struct {
		key      string
		was, now any
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
		if !reflect.DeepEqual(fixed.was, fixed.now) {
			return o, fmt.Errorf("%s: cannot change while the program runs", fixed.key)
		}
	}
	if (len(o.Pools) == 0) != (len(next.Pools) == 0) {
		return o, errors.New("pool: pools cannot be brought in or done away with while the program runs")
	}
	if o.Batch.Enabled && !(slices.Equal(o.Names.Classes, next.Names.Classes) && slices.Equal(o.Names.Tenants, next.Names.Tenants)) {
		return o, errors.New("class, tenant: names cannot change while batches run")
	}
	return next, nil
}

func setDefault[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}

func (o *OperatorFile) validate() error {
	setDefault(&o.Name, "standpoint")
	setDefault(&o.Module.Nodes, 1)
	setDefault(&o.Module.MaxAttempts, 3)
	setDefault(&o.Module.DialTimeout, Duration(defaultDialTimeout))
	setDefault(&o.Module.ConnIdle, Duration(defaultIdleTimeout))
	setDefault(&o.Module.WarmUp, Duration(20*time.Second))
	setDefault(&o.Module.ColdShare, 0.13)
	setDefault(&o.Endpoints.Source, "list")
	setDefault(&o.Endpoints.Refresh, Duration(2*time.Second))
	setDefault(&o.Endpoints.Poll, Duration(150*time.Millisecond))
	setDefault(&o.Endpoints.Guard, Duration(10*time.Second))
	setDefault(&o.Endpoints.GuardPart, 0.5)
	setDefault(&o.Endpoints.FlapMost, 3)
	if o.Endpoints.FlapHalf == nil {
		half := Duration(time.Minute)
		o.Endpoints.FlapHalf = &half
	}
	o.Nodes.setDefaults()
	setDefault(&o.BatchBackend.Gather, Duration(200*time.Millisecond))
	setDefault(&o.BatchBackend.Lines, 100)
	setDefault(&o.BatchBackend.Poll, Duration(500*time.Millisecond))
	setDefault(&o.BatchBackend.Lost, Duration(10*time.Second))
	setDefault(&o.Batch.LinesAtOnce, 8)
	setDefault(&o.Batch.LineTime, Duration(time.Minute))
	setDefault(&o.Batch.Tries, 5)
	setDefault(&o.Batch.FileMB, 16)
	setDefault(&o.Batch.Fields.Class, "class")
	setDefault(&o.Batch.Fields.Tenant, "tenant")
	setDefault(&o.Batch.Fields.Session, "session")
	setDefault(&o.Batch.Fields.Prefix, "prefix")
	setDefault(&o.Batch.Defaults.MaxTokens, 256)
	setDefault(&o.Store.Kind, "memory")
	setDefault(&o.Log.Level, "info")
	setDefault(&o.Log.Form, "json")
	o.setMigrationDefaults()
	o.EffectiveLimits = Limits{o.Limits.Cores, o.Limits.MemoryMB, o.Limits.Sockets}
	if err := o.EffectiveLimits.validate(); err != nil {
		return err
	}
	for _, check := range []func() error{o.validateAddresses, o.validateClasses, o.validateEndpoints, o.validateBatch, o.validateStore,
		o.validateLog, o.validateControl, o.validatePools, o.validateMetrics, o.validateNodes, o.validateFleet, o.validateTools, o.validateLedger} {
		if err := check(); err != nil {
			return err
		}
	}
	o.deriveSettings()
	return nil
}

// validateLoopback checks an address: this program is for loopback addresses only.
func validateLoopback(key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%s: %q is no host:port address", key, address)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s: %q is no loopback address", key, address)
	}
	return nil
}

func (o *OperatorFile) validateAddresses() error {
	if err := validateLoopback("listen", o.Listen); err != nil {
		return err
	}
	if o.Console != "" {
		if err := validateLoopback("console", o.Console); err != nil {
			return err
		}
	}
	m := &o.Module
	if m.Zone != "" && !slices.Contains(m.Zones, m.Zone) {
		return fmt.Errorf("module.zone: %q is not among module.zones", m.Zone)
	}
	if m.Ordinal < 0 || m.Ordinal >= m.Nodes {
		return fmt.Errorf("module.ordinal: %d is not from 0 to module.nodes - 1", m.Ordinal)
	}
	if m.MaxAttempts < 1 || m.MaxAttempts > 3 {
		return fmt.Errorf("module.max_attempts: %d is not from 1 to 3", m.MaxAttempts)
	}
	if m.ColdShare < 0 || m.ColdShare > 1 {
		return fmt.Errorf("module.cold_share: %g is not from 0 to 1", m.ColdShare)
	}
	return nil
}

func (o *OperatorFile) validateClasses() error {
	if len(o.Classes) == 0 {
		return fmt.Errorf("class: at least one class is needed")
	}
	for i, c := range o.Classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("class[%d].name: missing", i)
		case c.FirstTokenObjective <= 0:
			return fmt.Errorf("class[%d].first_token: a positive span is needed", i)
		case c.Deadline < c.FirstTokenObjective:
			return fmt.Errorf("class[%d].give_up: shorter than first_token", i)
		case c.Weight < 0:
			return fmt.Errorf("class[%d].worth: %g is negative", i, c.Weight)
		}
	}
	for i, t := range o.Tenants {
		if t.Name == "" {
			return fmt.Errorf("tenant[%d].name: missing", i)
		}
	}
	return nil
}

func (o *OperatorFile) validateEndpoints() error {
	switch o.Endpoints.Source {
	case "dns-sd":
		if err := o.validateBrowses(); err != nil {
			return err
		}
		if p := o.Endpoints.Poll; p < Duration(10*time.Millisecond) || p > Duration(time.Minute) {
			return fmt.Errorf("entries.poll: %v is not from 10ms to 1m", time.Duration(p))
		}
		if g := o.Endpoints.GuardPart; !(g >= 0 && g <= 1) {
			return fmt.Errorf("entries.guard_part: %g is not from 0 to 1", g)
		}
		if r := o.Endpoints.Refresh; r < o.Endpoints.Poll {
			return fmt.Errorf("entries.refresh: %v is shorter than entries.poll", time.Duration(r))
		}
		if h := *o.Endpoints.FlapHalf; h < 0 || h > Duration(time.Hour) {
			return fmt.Errorf("entries.flap_half: %v is not from 0s to 1h", time.Duration(h))
		}
		if m := o.Endpoints.FlapMost; !(m >= 1 && m <= 6) {
			return fmt.Errorf("entries.flap_most: %g is not from 1 to 6", m)
		}
	case "list":
		if len(o.Backends) == 0 {
			return fmt.Errorf("real_server: at least one is needed where entries.source is \"list\"")
		}
	default:
		return fmt.Errorf("entries.source: %q is neither \"list\" nor \"dns-sd\"", o.Endpoints.Source)
	}
	for i := range o.Backends {
		s := &o.Backends[i]
		setDefault(&s.Mode, "stream")
		setDefault(&s.Capacity, 1)
		if s.Name == "" {
			return fmt.Errorf("real_server[%d].name: missing", i)
		}
		if s.Mode != "stream" && s.Mode != "batch" {
			return fmt.Errorf("real_server[%d].mode: %q is neither \"stream\" nor \"batch\"", i, s.Mode)
		}
		if err := validateLoopback(fmt.Sprintf("real_server[%d].address", i), s.Address); err != nil {
			return err
		}
	}
	return nil
}

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
	case !slices.ContainsFunc(o.Classes, func(c Class) bool { return c.Name == b.Defaults.Class }):
		return fmt.Errorf("batch.defaults.class: %q is no class of this file", b.Defaults.Class)
	case len(o.Tenants) > 0 && !slices.ContainsFunc(o.Tenants, func(t Tenant) bool { return t.Name == b.Defaults.Tenant }):
		return fmt.Errorf("batch.defaults.tenant: %q is no tenant of this file", b.Defaults.Tenant)
	case b.LinesAtOnce < 1 || b.LinesAtOnce > 256:
		return fmt.Errorf("batch.lines_at_once: %d is not from 1 to 256", b.LinesAtOnce)
	case b.LineTime < Duration(time.Second):
		return fmt.Errorf("batch.line_time: shorter than 1s")
	case b.Tries < 1 || b.Tries > 100:
		return fmt.Errorf("batch.tries: %d is not from 1 to 100", b.Tries)
	case b.FileMB < 1 || b.FileMB > 64:
		return fmt.Errorf("batch.file_mb: %d is not from 1 to 64", b.FileMB)
	}
	return nil
}

func (o *OperatorFile) validateStore() error {
	s := &o.Store
	if s.Kind == "memory" {
		return nil
	}
	if s.Kind != "raft" {
		return fmt.Errorf("store.kind: %q is neither \"memory\" nor \"raft\"", s.Kind)
	}
	own := false
	for i, m := range s.Members {
		if m.ID == "" {
			return fmt.Errorf("store.member[%d].id: missing", i)
		}
		if err := validateLoopback(fmt.Sprintf("store.member[%d].address", i), m.Address); err != nil {
			return err
		}
		if m.DialAddress != "" {
			if err := validateLoopback(fmt.Sprintf("store.member[%d].reach", i), m.DialAddress); err != nil {
				return err
			}
		}
		if m.ControlAddress != "" {
			if err := validateLoopback(fmt.Sprintf("store.member[%d].control", i), m.ControlAddress); err != nil {
				return err
			}
		}
		own = own || m.ID == s.ID
	}
	if s.Heartbeat != 0 && s.Heartbeat < Duration(20*time.Millisecond) {
		return fmt.Errorf("store.heartbeat: shorter than 20ms")
	}
	if !own {
		return fmt.Errorf("store.id: %q is not among store.member", s.ID)
	}
	return nil
}

// deriveSettings works out the module's settings.
func (o *OperatorFile) deriveSettings() {
	m := &o.Module
	s := standpoint.Settings{Balancers: m.Nodes, Ordinal: m.Ordinal, Zones: max(1, len(m.Zones)),
		Zone: max(0, slices.Index(m.Zones, m.Zone)), Kinds: len(m.Kinds), Reports: standpoint.ReportReplies,
		RetryAfter: true, MaxRetryAfter: int64(2 * time.Second), MaxAttempts: m.MaxAttempts,
		Resume: m.Resume, Tick: int64(2 * time.Millisecond), AskWithin: int64(10 * time.Second), DrainGrace: int64(500 * time.Millisecond),
		WarmUp: int64(m.WarmUp), Fall: int64(3 * time.Second), ColdShare: m.ColdShare, FallFactor: 4, Cancel: true}
	o.Names = Names{Zones: m.Zones, Kinds: m.Kinds, IdleTimeout: time.Duration(m.ConnIdle),
		DialTimeout: time.Duration(m.DialTimeout)}
	for _, c := range o.Classes {
		o.Names.Classes = append(o.Names.Classes, c.Name)
		s.Classes = append(s.Classes, standpoint.Class{Streamed: true, TTFTAim: int64(c.FirstTokenObjective),
			AimPer1000: int64(c.ObjectivePer1000Tokens), TPOTAim: int64(c.TokenGapObjective), Deadline: int64(c.Deadline), Worth: c.Weight,
			LateWorth: c.LateWeight, Description: c.Name})
	}
	for _, t := range o.Tenants {
		o.Names.Tenants = append(o.Names.Tenants, t.Name)
		s.Tenants = append(s.Tenants, standpoint.Tenant{Share: t.Share, QuotaRPS: t.QuotaRPS})
	}
	for _, r := range o.Backends {
		if r.Mode == "batch" {
			// A line cannot be called back from a file, so an attempt there that looks slow is left to end.
			s.Cancel = false
		}
	}
	o.Settings = s
}
