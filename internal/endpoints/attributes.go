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

// Keys of an instance's TXT record, those of the platform's list among them. All others are labels.
const (
	attributeSite   = "site"
	attributeClass  = "class"
	attributeBlock  = "block"
	attributeShare  = "share"
	attributeBornMS = "born_ms"
	attributeHealth = "health"
	attributeMode   = "mode"
)

// AttributeError reports a TXT record's value that is invalid.
type AttributeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *AttributeError) Error() string { return "TXT " + e.Key + ": " + e.Err.Error() }

// Unwrap implements errors.Unwrap.
func (e *AttributeError) Unwrap() error { return e.Err }

// endpoint returns the endpoint that an instance stands for. Its errors are the instance's fault, and *AttributeError.
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
	if endpoint.ReadyAt == 0 {
		endpoint.ReadyAt = s.observeStart(instance.Name, endpoint.Address, now)
	}
	return endpoint, nil
}

// applyAttribute sets the field of an endpoint that a key of the TXT record stands for.
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
		endpoint.ReadyAt, err = parseStart(value)
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

func parseSize(value string) (float64, error) {
	size, err := strconv.ParseFloat(value, 64)
	if err == nil && !(size > 0 && size <= maxSize) { // NaN is neither
		err = fmt.Errorf("%q is no size", value)
	}
	return size, err
}

// parseStart returns the Unix time in nanoseconds of one in milliseconds.
func parseStart(value string) (int64, error) {
	bornMS, err := strconv.ParseInt(value, 10, 64)
	if err == nil && (bornMS < 0 || bornMS > maxBornMS) {
		err = fmt.Errorf("%q is no time", value)
	}
	return bornMS * int64(time.Millisecond), err
}
