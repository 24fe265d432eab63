// Package settings decides about the configuration that the nodes of an installation share: a document in TOML, its
// versions, and how it is merged with a node's own file. It is pure: no clock, no I/O.
package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

// MaxDocumentBytes is how many bytes a document may have.
const MaxDocumentBytes = 256 << 10

// nodeLocalKeys are the sections, and keys of sections, that stay in each node's own file.
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

// Parse decodes a document. It returns a *PathError for a key that stays in each node's own file.
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

func decode(text string) (map[string]any, error) {
	document := map[string]any{}
	if _, err := toml.Decode(text, &document); err != nil {
		return nil, err
	}
	return document, nil
}

// isNodeLocal reports whether a path lies in a section, or is a key of one, that stays in each node's own file.
func isNodeLocal(path string) bool {
	section, rest, _ := strings.Cut(path, ".")
	section, _, _ = strings.Cut(section, "[")
	key, _, _ := strings.Cut(rest, ".")
	return nodeLocalKeys[section] || nodeLocalKeys[section+"."+key]
}

// Format encodes a document, with its keys sorted.
func Format(document map[string]any) (string, error) {
	var b strings.Builder
	encoder := toml.NewEncoder(&b)
	encoder.Indent = ""
	err := encoder.Encode(document)
	return b.String(), err
}

// Merge returns a node's own file with the shared document laid over it: values of the document replace the file's,
// key by key; lists of sections, such as [[class]], are replaced as a whole.
func Merge(own, shared string) (string, error) {
	base, err := decode(own)
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

// ExtractShared returns what of a node's own file may be shared, for an installation's first document.
func ExtractShared(own string) (string, error) {
	document, err := decode(own)
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

// Equal reports whether two documents have the same keys and values. A document that cannot be parsed equals none.
func Equal(a, b string) bool {
	documentA, errA := Parse(a)
	documentB, errB := Parse(b)
	return errA == nil && errB == nil && reflect.DeepEqual(documentA, documentB)
}
