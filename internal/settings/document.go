// Package settings implements the configuration that is shared by the nodes of an installation: a TOML document, its
// versions, and its merge with a node's local file. It is pure: it uses no clock and no I/O.
package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 256 << 10

// nodeLocalKeys are the sections, and the keys within sections, that cannot be shared: they are set in each node's
// local file.
var nodeLocalKeys = map[string]bool{
	"name":           true,
	"listen":         true,
	"seed":           true,
	"limits":         true,
	"log":            true,
	"control":        true,
	"metrics":        true,
	"nodes":          true,
	"store":          true,
	"module.ordinal": true,
	"module.zone":    true,
	"module.nodes":   true,
}

// Parse decodes a document. It returns a *PathError if the document contains a node-local key.
func Parse(text string) (map[string]any, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("the document has %d bytes, %d at most", len(text), MaxDocumentBytes)
	}
	document, err := decode(text)
	if err != nil {
		return nil, err
	}
	for _, path := range Keys(document) {
		if isNodeLocal(path) {
			return nil, &PathError{Path: path, Reason: "this stays in each node's own file"}
		}
	}
	return document, nil
}

// decode decodes TOML text without checking for node-local keys.
func decode(text string) (map[string]any, error) {
	document := map[string]any{}
	if _, err := toml.Decode(text, &document); err != nil {
		return nil, err
	}
	return document, nil
}

// isNodeLocal reports whether a path is, or is within, one of nodeLocalKeys.
func isNodeLocal(path string) bool {
	section, rest, _ := strings.Cut(path, ".")
	section, _, _ = strings.Cut(section, "[")
	key, _, _ := strings.Cut(rest, ".")
	return nodeLocalKeys[section] || nodeLocalKeys[section+"."+key]
}

// Format encodes a document as TOML with sorted keys.
func Format(document map[string]any) (string, error) {
	var b strings.Builder
	encoder := toml.NewEncoder(&b)
	encoder.Indent = ""
	err := encoder.Encode(document)
	return b.String(), err
}

// Merge merges the shared document into a node's local file and returns the result. Values of the document replace
// those of the file key by key; lists of sections, such as [[class]], are replaced as a whole.
func Merge(local, shared string) (string, error) {
	base, err := decode(local)
	if err != nil {
		return "", err
	}
	document, err := Parse(shared)
	if err != nil {
		return "", err
	}
	overlay(base, document)
	return Format(base)
}

// overlay copies the values of document into base, recursively for sections that exist in both.
func overlay(base, document map[string]any) {
	for key, value := range document {
		if section, ok := value.(map[string]any); ok {
			if existing, ok := base[key].(map[string]any); ok {
				overlay(existing, section)
				continue
			}
		}
		base[key] = value
	}
}

// ExtractShared returns the part of a node's local file that can be shared, for use as an installation's first
// document.
func ExtractShared(local string) (string, error) {
	document, err := decode(local)
	if err != nil {
		return "", err
	}
	for path := range nodeLocalKeys {
		section, key, nested := strings.Cut(path, ".")
		if !nested {
			delete(document, path)
		} else if keys, ok := document[section].(map[string]any); ok {
			delete(keys, key)
		}
	}
	return Format(document)
}

// Equal reports whether two documents have the same keys and values. A document that cannot be parsed is not equal to
// any document.
func Equal(a, b string) bool {
	documentA, errA := Parse(a)
	documentB, errB := Parse(b)
	return errA == nil && errB == nil && reflect.DeepEqual(documentA, documentB)
}
