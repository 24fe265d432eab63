package config

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
)

// setDefault stores standard in a value that the file leaves at its zero value.
func setDefault[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}

// between tells whether v is from minimum to maximum; no NaN is.
func between[T cmp.Ordered](v, minimum, maximum T) bool { return v >= minimum && v <= maximum }

// validateHostPort checks the form of an address.
func validateHostPort(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return keyError(key, "%q is no host:port address", address)
	}
	return nil
}

// validateLoopback checks that an address is a loopback address: an operator's deployment may use no other.
func validateLoopback(key, address string) error {
	if err := validateHostPort(key, address); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(address) // checked above
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return keyError(key, "%q is no loopback address", address)
	}
	return nil
}

// validateOptionalLoopback accepts an address that is not given, too.
func validateOptionalLoopback(key, address string) error {
	if address == "" {
		return nil
	}
	return validateLoopback(key, address)
}

// firstError runs checks in order and returns the first error.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// findNonFinite returns the path of the first number, in the order of keys, that is NaN or infinite; "" if there is
// none. TOML has such numbers, and no range check is sure to reject them.
func findNonFinite(value any, path string) string {
	switch value := value.(type) {
	case float64:
		if math.IsNaN(value) || math.IsInf(value, 0) {
			return path
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(value)) {
			if found := findNonFinite(value[key], strings.TrimPrefix(path+"."+key, ".")); found != "" {
				return found
			}
		}
	case []map[string]any:
		return findNonFiniteElement(value, path)
	case []any:
		return findNonFiniteElement(value, path)
	}
	return ""
}

func findNonFiniteElement[T any](list []T, path string) string {
	for i := range list {
		if found := findNonFinite(list[i], fmt.Sprintf("%s[%d]", path, i)); found != "" {
			return found
		}
	}
	return ""
}
