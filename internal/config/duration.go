package config

import "time"

// Duration is a time.Duration whose TOML and JSON form is a text such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// between reports whether the duration is from minimum to maximum, both included.
func (d Duration) between(minimum, maximum time.Duration) bool {
	return time.Duration(d) >= minimum && time.Duration(d) <= maximum
}
