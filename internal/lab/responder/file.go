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

// File is a zone's file.
type File struct {
	Domain      string `toml:"domain"`
	Listen      string `toml:"listen"`
	Serial      uint32 `toml:"serial"`
	NoSerial    bool   `toml:"no_serial"`
	Certificate string `toml:"certificate"` // PEM files; with both push is had over TLS
	Key         string `toml:"key"`
	Boxes       []struct {
		Label    string   `toml:"label"`
		Service  string   `toml:"service"`
		Address  string   `toml:"address"`
		Text     []string `toml:"text"`
		Subtypes []string `toml:"subtypes"`
		TTL      uint32   `toml:"ttl"`
		Later    bool     `toml:"later"` // published by an event, not at the start
	} `toml:"box"`
	Events []struct {
		At    string   `toml:"at"`
		Do    string   `toml:"do"`
		Value string   `toml:"value"`
		Boxes []string `toml:"boxes"`
	} `toml:"event"`

	base  string
	boxes map[string]Box
}

// Deeds are what can be done to a responder, and what each one's value is.
var Deeds = map[string]string{"withdraw": "", "publish": "", "lose": "", "restore": "", "silent": "", "speak": "", "drop": "",
	"loss": "the part of the packets that is lost", "delay": "a time such as 50ms", "jitter": "a time such as 50ms",
	"garbage": "a part of the answers", "wrong-id": "a part of the answers", "poison": "a part of the answers",
	"truncate": "true or false", "zero-ttl": "true or false", "broken": "true or false", "no-push": "true or false", "mute": "true or false",
	"split": "true or false: a second server, which lags from now on, answers what comes from odd ports"}

// ReadFile reads and checks a zone's file; errors name the key.
func ReadFile(path string) (*File, error) {
	f := File{base: filepath.Dir(path), boxes: map[string]Box{}, Serial: 1}
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
	for i, b := range f.Boxes {
		at, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			return nil, fmt.Errorf("box[%d].address: %w", i, err)
		}
		one := Box{Label: b.Label, Service: b.Service, Address: at, Text: b.Text, Subtypes: b.Subtypes, TTL: b.TTL}
		if one.TTL == 0 {
			one.TTL = 120
		}
		if _, err := NewZone(f.Domain, 1).Records(one); err != nil {
			return nil, fmt.Errorf("box[%d]: %w", i, err)
		}
		if _, twice := f.boxes[b.Label]; twice {
			return nil, fmt.Errorf("box[%d].label: %q is another box's", i, b.Label)
		}
		f.boxes[b.Label] = one
	}
	for i, e := range f.Events {
		if _, err := time.ParseDuration(e.At); err != nil {
			return nil, fmt.Errorf("event[%d].at: %w", i, err)
		}
		if _, ok := Deeds[e.Do]; !ok {
			return nil, fmt.Errorf("event[%d].do: %q is no deed", i, e.Do)
		}
	}
	return &f, nil
}

// Running is a responder of a file.
type Running struct {
	*Server
	file *File
}

// Start starts the responder and its events.
func (f *File) Start() (*Running, error) {
	z := NewZone(f.Domain, f.Serial)
	if f.NoSerial {
		z.NoSerial()
	}
	for _, b := range f.Boxes {
		if !b.Later {
			if err := z.Publish(f.boxes[b.Label]); err != nil {
				return nil, err
			}
		}
	}
	var certificate *tls.Certificate
	if f.Certificate != "" {
		c, err := tls.LoadX509KeyPair(filepath.Join(f.base, f.Certificate), filepath.Join(f.base, f.Key))
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
		at, _ := time.ParseDuration(e.At) // checked before
		s.after(at, func() { _ = r.Do(e.Do, e.Value, e.Boxes...) })
	}
	return r, nil
}

// Do does a deed.
func (r *Running) Do(deed, value string, labels ...string) error {
	var boxes []Box
	for _, l := range labels {
		b, ok := r.file.boxes[l]
		if !ok {
			return fmt.Errorf("no box %q in the file", l)
		}
		boxes = append(boxes, b)
	}
	if len(labels) == 0 && (deed == "withdraw" || deed == "publish") {
		for _, b := range r.file.Boxes {
			boxes = append(boxes, r.file.boxes[b.Label])
		}
	}
	f := *r.faults.Load()
	part := func(to *float64) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 || v > 1 {
			return fmt.Errorf("%s: %q is not from 0 to 1", deed, value)
		}
		*to = v
		return nil
	}
	span := func(to *time.Duration) error {
		v, err := time.ParseDuration(value)
		if err != nil || v < 0 || v > time.Minute {
			return fmt.Errorf("%s: %q is no time up to 1m", deed, value)
		}
		*to = v
		return nil
	}
	flag := func(to *bool) error {
		v, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%s: %q is neither true nor false", deed, value)
		}
		*to = v
		return nil
	}
	var err error
	switch deed {
	case "withdraw":
		return r.Zone.Withdraw(boxes...)
	case "publish":
		return r.Zone.Publish(boxes...)
	case "lose", "restore":
		r.Zone.Lose(deed == "lose")
	case "drop":
		r.Drop()
	case "silent", "speak":
		f.Silent = deed == "silent"
	case "loss":
		err = part(&f.Loss)
	case "garbage":
		err = part(&f.Garbage)
	case "wrong-id":
		err = part(&f.WrongID)
	case "poison":
		err = part(&f.Poison)
	case "delay":
		err = span(&f.Delay)
	case "jitter":
		err = span(&f.Jitter)
	case "truncate":
		err = flag(&f.Truncate)
	case "zero-ttl":
		err = flag(&f.ZeroTTL)
	case "broken":
		err = flag(&f.Broken)
	case "no-push":
		err = flag(&f.NoPush)
	case "mute":
		err = flag(&f.Mute)
	case "split":
		var on bool
		if err = flag(&on); err == nil {
			f.Other = nil
			if on {
				f.Other = r.Zone.Copy()
			}
		}
	default:
		return fmt.Errorf("no deed %q", deed)
	}
	if err == nil {
		r.Set(f)
	}
	return err
}
