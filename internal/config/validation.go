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

// setDefault sets *v to standard if *v is the zero value: the file does not contain the key, or sets it to zero.
func setDefault[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}

// between reports whether v is from minimum to maximum, both included. It is false for NaN.
func between[T cmp.Ordered](v, minimum, maximum T) bool { return v >= minimum && v <= maximum }

// validateHostPort checks that an address has the form host:port.
func validateHostPort(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return keyError(key, "%q is not a host:port address", address)
	}
	return nil
}

// validateLoopback checks that an address is a loopback address, since an operator's file may contain no others.
func validateLoopback(key, address string) error {
	if err := validateHostPort(key, address); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(address) // validated above
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return keyError(key, "%q is not a loopback address", address)
	}
	return nil
}

// validateOptionalLoopback is validateLoopback for an address that may be "".
func validateOptionalLoopback(key, address string) error {
	if address == "" {
		return nil
	}
	return validateLoopback(key, address)
}

// firstError calls the checks in order until one returns an error, and returns that.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// findNonFinite returns the path of the first number, in the order of keys, that is NaN or infinite; "" if there is
// none. TOML permits such numbers, and range checks that use < and > do not reject NaN.
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

// findNonFiniteElement is findNonFinite for the elements of a list.
func findNonFiniteElement[T any](list []T, path string) string {
	for i := range list {
		if found := findNonFinite(list[i], fmt.Sprintf("%s[%d]", path, i)); found != "" {
			return found
		}
	}
	return ""
}
