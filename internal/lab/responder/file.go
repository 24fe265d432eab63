package responder

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"
)

// File is a file that describes a zone and the faults to apply to its server.
type File struct {
	Domain      string `toml:"domain"`
	Listen      string `toml:"listen"`      // host:port on a loopback address
	Serial      uint32 `toml:"serial"`      // of the SOA record at the start
	NoSerial    bool   `toml:"no_serial"`   // whether the zone has no SOA record
	Certificate string `toml:"certificate"` // PEM files, relative to this file; with both, push over TLS is served
	Key         string `toml:"key"`
	Instances   []struct {
		Label    string   `toml:"label"`
		Service  string   `toml:"service"` // such as _engine._tcp
		Address  string   `toml:"address"` // host:port
		Text     []string `toml:"text"`    // strings of the TXT record
		Subtypes []string `toml:"subtypes"`
		TTL      uint32   `toml:"ttl"`   // in seconds; 0: 120
		Later    bool     `toml:"later"` // not published at the start, but by an event
	} `toml:"box"`
	Events []struct {
		At     string   `toml:"at"` // duration since the start
		Do     string   `toml:"do"` // a key of FaultCommands
		Value  string   `toml:"value"`
		Labels []string `toml:"boxes"` // labels of the instances; for publish and withdraw, none: all
	} `toml:"event"`

	directory string
	instances map[string]Instance
}

// FaultCommands maps the fault commands for a responder to descriptions of their values; "": the command has no value.
var FaultCommands = map[string]string{"withdraw": "", "publish": "", "lose": "", "restore": "", "silent": "",
	"speak": "", "drop": "", "loss": "the share of packets that are lost", "delay": "a duration such as 50ms",
	"jitter": "a duration such as 50ms", "garbage": "a share of the responses", "wrong-id": "a share of the responses",
	"poison": "a share of the responses", "truncate": "true or false", "zero-ttl": "true or false",
	"broken": "true or false", "no-push": "true or false", "mute": "true or false",
	"split": "true or false: a second server, whose zone no longer changes, responds to queries from odd ports"}

// ReadFile reads and validates a zone file. Errors name the key.
func ReadFile(path string) (*File, error) {
	f := File{directory: filepath.Dir(path), instances: map[string]Instance{}, Serial: 1}
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if f.Domain == "" {
		return nil, errors.New("domain: missing")
	}
	if (f.Certificate == "") != (f.Key == "") {
		return nil, errors.New("certificate, key: one is missing")
	}
	for i, b := range f.Instances {
		at, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			return nil, fmt.Errorf("box[%d].address: %w", i, err)
		}
		instance := Instance{Label: b.Label, Service: b.Service, Address: at, Text: b.Text, Subtypes: b.Subtypes, TTL: b.TTL}
		if instance.TTL == 0 {
			instance.TTL = 120
		}
		if _, err := NewZone(f.Domain, 1).Records(instance); err != nil {
			return nil, fmt.Errorf("box[%d]: %w", i, err)
		}
		if _, twice := f.instances[b.Label]; twice {
			return nil, fmt.Errorf("box[%d].label: %q is the label of another box", i, b.Label)
		}
		f.instances[b.Label] = instance
	}
	for i, e := range f.Events {
		if _, err := time.ParseDuration(e.At); err != nil {
			return nil, fmt.Errorf("event[%d].at: %w", i, err)
		}
		if _, ok := FaultCommands[e.Do]; !ok {
			return nil, fmt.Errorf("event[%d].do: unknown fault command %q", i, e.Do)
		}
	}
	return &f, nil
}

// Running is a responder that was started from a file.
type Running struct {
	*Server
	file *File
}

// Start starts the responder and schedules the events.
func (f *File) Start() (*Running, error) {
	z := NewZone(f.Domain, f.Serial)
	if f.NoSerial {
		z.OmitSOA()
	}
	for _, b := range f.Instances {
		if !b.Later {
			if err := z.Publish(f.instances[b.Label]); err != nil {
				return nil, err
			}
		}
	}
	var certificate *tls.Certificate
	if f.Certificate != "" {
		c, err := tls.LoadX509KeyPair(filepath.Join(f.directory, f.Certificate), filepath.Join(f.directory, f.Key))
		if err != nil {
			return nil, fmt.Errorf("certificate, key: %w", err)
		}
		certificate = &c
	}
	s, err := Start(z, f.Listen, certificate)
	if err != nil {
		return nil, err
	}
	r := &Running{s, f}
	for _, e := range f.Events {
		at, _ := time.ParseDuration(e.At) // validated by ReadFile
		s.schedule(at, func() { _ = r.Apply(e.Do, e.Value, e.Labels...) })
	}
	return r, nil
}

// Apply applies a fault command, publish and withdraw to the instances with the given labels; without labels, to all.
func (r *Running) Apply(command, value string, labels ...string) error {
	var instances []Instance
	for _, l := range labels {
		b, ok := r.file.instances[l]
		if !ok {
			return fmt.Errorf("no box is named %q", l)
		}
		instances = append(instances, b)
	}
	if len(labels) == 0 && (command == "withdraw" || command == "publish") {
		for _, b := range r.file.Instances {
			instances = append(instances, r.file.instances[b.Label])
		}
	}
	f := *r.faults.Load()
	parseFraction := func(to *float64) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 || v > 1 {
			return fmt.Errorf("%s: %q is not from 0 to 1", command, value)
		}
		*to = v
		return nil
	}
	parseDuration := func(to *time.Duration) error {
		v, err := time.ParseDuration(value)
		if err != nil || v < 0 || v > time.Minute {
			return fmt.Errorf("%s: %q is no duration up to 1m", command, value)
		}
		*to = v
		return nil
	}
	parseBool := func(to *bool) error {
		v, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%s: %q is neither true nor false", command, value)
		}
		*to = v
		return nil
	}
	var err error
	switch command {
	case "withdraw":
		return r.Zone.Withdraw(instances...)
	case "publish":
		return r.Zone.Publish(instances...)
	case "lose", "restore":
		r.Zone.SetEmpty(command == "lose")
	case "drop":
		r.CloseConnections()
	case "silent", "speak":
		f.Unresponsive = command == "silent"
	case "loss":
		err = parseFraction(&f.Loss)
	case "garbage":
		err = parseFraction(&f.Garbage)
	case "wrong-id":
		err = parseFraction(&f.WrongID)
	case "poison":
		err = parseFraction(&f.Poison)
	case "delay":
		err = parseDuration(&f.Delay)
	case "jitter":
		err = parseDuration(&f.Jitter)
	case "truncate":
		err = parseBool(&f.Truncate)
	case "zero-ttl":
		err = parseBool(&f.ZeroTTL)
	case "broken":
		err = parseBool(&f.ServerFailure)
	case "no-push":
		err = parseBool(&f.NoPush)
	case "mute":
		err = parseBool(&f.NoPushChanges)
	case "split":
		var split bool
		if err = parseBool(&split); err == nil {
			f.SecondZone = nil
			if split {
				f.SecondZone = r.Zone.Copy()
			}
		}
	default:
		return fmt.Errorf("unknown fault command %q", command)
	}
	if err == nil {
		r.SetFaults(f)
	}
	return err
}
