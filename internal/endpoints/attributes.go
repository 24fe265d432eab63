package endpoints

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"standpoint"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/node"
)

// Keys of a service instance's TXT record; they include the keys of the platform's list. Other keys become labels.
const (
	attributeSite   = "site"
	attributeClass  = "class"
	attributeBlock  = "block"
	attributeShare  = "share"
	attributeBornMS = "born_ms"
	attributeHealth = "health"
	attributeMode   = "mode"
)

// AttributeError reports an invalid value in a TXT record.
type AttributeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *AttributeError) Error() string { return "TXT " + e.Key + ": " + e.Err.Error() }

// Unwrap implements errors.Unwrap.
func (e *AttributeError) Unwrap() error { return e.Err }

// endpoint converts a service instance into an endpoint. Its errors are the instance's Fault and *AttributeError.
func (s *ServiceSource) endpoint(instance record.Instance, now time.Time) (node.Endpoint, error) {
	endpoint := node.Endpoint{
		Engine: standpoint.Engine{Name: instance.Label + s.Suffix, Size: 1},
		Source: s.Key,
	}
	if instance.Fault != nil {
		return endpoint, instance.Fault
	}
	if s.Site != "" {
		endpoint.Zone = slices.Index(s.Names.Zones, s.Site)
	}
	endpoint.Address = instance.Address.String()
	for key, attribute := range instance.Attributes {
		if err := applyAttribute(&endpoint, s.Names, key, attribute.Value); err != nil {
			return endpoint, &AttributeError{Key: key, Err: err}
		}
	}
	if endpoint.StartedAt == 0 {
		endpoint.StartedAt = s.observeStart(instance.Name, endpoint.Address, now)
	}
	return endpoint, nil
}

// applyAttribute sets the endpoint's field that corresponds to a key of the TXT record, or a label for other keys.
func applyAttribute(endpoint *node.Endpoint, names Names, key, value string) (err error) {
	switch key {
	case attributeSite:
		endpoint.Zone = slices.Index(names.Zones, value)
	case attributeClass:
		endpoint.Kind = slices.Index(names.Kinds, value)
	case attributeBlock:
		endpoint.Cell, err = strconv.Atoi(value)
	case attributeShare:
		endpoint.Size, err = parseSize(value)
	case attributeBornMS:
		endpoint.StartedAt, err = parseStart(value)
	case attributeMode:
		endpoint.Batch = value == modeBatch
	case attributeHealth:
		endpoint.State, err = parseHealth(value)
	default:
		if endpoint.Labels == nil {
			endpoint.Labels = map[string]string{}
		}
		endpoint.Labels[key] = value
	}
	return err
}

// parseSize parses a size, which must be greater than 0 and at most maxSize.
func parseSize(value string) (float64, error) {
	size, err := strconv.ParseFloat(value, 64)
	if err == nil && !(size > 0 && size <= maxSize) { // also true for NaN
		err = fmt.Errorf("%q is no size", value)
	}
	return size, err
}

// parseStart parses a Unix time in milliseconds, and returns it in nanoseconds.
func parseStart(value string) (int64, error) {
	bornMS, err := strconv.ParseInt(value, 10, 64)
	if err == nil && (bornMS < 0 || bornMS > maxBornMS) {
		err = fmt.Errorf("%q is no time", value)
	}
	return bornMS * int64(time.Millisecond), err
}
