// Package settings is the configuration that the nodes of an installation share: a document in TOML, its versions, and
// how it goes together with a node's own file. It decides alone: no clock, no I/O.
package settings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Version is one version of the document.
type Version struct {
	Number     uint64    `json:"number"` // from 1
	Author     string    `json:"author"`
	Note       string    `json:"note,omitempty"`
	CreatedAt  time.Time `json:"at"`
	Text       string    `json:"text,omitempty"`
	RollbackTo uint64    `json:"back,omitempty"` // the version whose text this one brings back
}

// Bounds.
const (
	MaxDocumentBytes = 256 << 10 // bytes of a document
	MaxNoteBytes     = 1000
	MaxVersions      = 200 // versions
	maxDepth         = 8
)

// nodeLocalKeys are the sections, and keys of sections, that stay in a node's own file.
var nodeLocalKeys = map[string]bool{"name": true, "listen": true, "seed": true, "limits": true, "log": true, "control": true, "metrics": true, "nodes": true,
	"store": true, "module.ordinal": true, "module.zone": true, "module.nodes": true}

// Parse reads a document, and refuses keys that are a node's own.
func Parse(text string) (map[string]any, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("the document has %d bytes, %d at most", len(text), MaxDocumentBytes)
	}
	doc := map[string]any{}
	if _, err := toml.Decode(text, &doc); err != nil {
		return nil, err
	}
	for _, key := range Keys(doc) {
		top, rest, _ := strings.Cut(key, ".")
		top, _, _ = strings.Cut(top, "[")
		second, _, _ := strings.Cut(rest, ".")
		if nodeLocalKeys[top] || nodeLocalKeys[top+"."+second] {
			return nil, fmt.Errorf("%s: this stays in each node's own file", key)
		}
	}
	return doc, nil
}

// Format writes a document.
func Format(doc map[string]any) (string, error) {
	var b strings.Builder
	e := toml.NewEncoder(&b)
	e.Indent = ""
	err := e.Encode(doc)
	return b.String(), err
}

// Merge is a node's own file with the shared document over it: a section of the document stands in for the file's, key by
// key; lists of sections, such as [[class]], are taken whole.
func Merge(own, shared string) (string, error) {
	base := map[string]any{}
	if _, err := toml.Decode(own, &base); err != nil {
		return "", err
	}
	doc, err := Parse(shared)
	if err != nil {
		return "", err
	}
	overlay(base, doc)
	return Format(base)
}

func overlay(base, over map[string]any) {
	for k, v := range over {
		if section, ok := v.(map[string]any); ok {
			if under, ok := base[k].(map[string]any); ok {
				overlay(under, section)
				continue
			}
		}
		base[k] = v
	}
}

// ExtractShared is the part of a node's file that may be shared: what a first document is made of.
func ExtractShared(own string) (string, error) {
	doc := map[string]any{}
	if _, err := toml.Decode(own, &doc); err != nil {
		return "", err
	}
	for k := range nodeLocalKeys {
		section, key, nested := strings.Cut(k, ".")
		if !nested {
			delete(doc, k)
		} else if m, ok := doc[section].(map[string]any); ok {
			delete(m, key)
		}
	}
	return Format(doc)
}

// Keys are the paths of all values, in order: class[0].worth, move.hold.
func Keys(doc map[string]any) []string {
	var keys []string
	flatten(doc, "", 0, func(path string, _ any) { keys = append(keys, path) })
	return keys
}

func flatten(v any, path string, depth int, each func(path string, v any)) {
	if depth > maxDepth {
		return
	}
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for k := range v {
			names = append(names, k)
		}
		slices.Sort(names)
		for _, k := range names {
			under := k
			if path != "" {
				under = path + "." + k
			}
			flatten(v[k], under, depth+1, each)
		}
		if len(v) == 0 && path != "" {
			each(path, v)
		}
	case []map[string]any:
		for i := range v {
			flatten(v[i], fmt.Sprintf("%s[%d]", path, i), depth+1, each)
		}
	default:
		each(path, v)
	}
}

// Diff says how two documents differ, a line a value: "- path = old", "+ path = new".
func Diff(was, is string) ([]string, error) {
	var sides [2]map[string]string
	var order []string
	for i, text := range []string{was, is} {
		doc, err := Parse(text)
		if err != nil {
			return nil, err
		}
		sides[i] = map[string]string{}
		flatten(doc, "", 0, func(path string, v any) {
			sides[i][path] = literal(v)
			order = append(order, path)
		})
	}
	slices.Sort(order)
	var lines []string
	for _, path := range slices.Compact(order) {
		old, had := sides[0][path]
		now, has := sides[1][path]
		if had && (!has || old != now) {
			lines = append(lines, "- "+path+" = "+old)
		}
		if has && (!had || old != now) {
			lines = append(lines, "+ "+path+" = "+now)
		}
	}
	return lines, nil
}

func literal(v any) string {
	if s, ok := v.(string); ok {
		return strconv.Quote(s)
	}
	return fmt.Sprint(v)
}

// pathSegment is one part of a path: a key, or a place in a list.
type pathSegment struct {
	key   string
	index int // -1: none
}

func parsePath(path string) ([]pathSegment, error) {
	var all []pathSegment
	for _, part := range strings.Split(path, ".") {
		name, rest, indexed := strings.Cut(part, "[")
		s := pathSegment{name, -1}
		if indexed {
			n, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
			if err != nil || n < 0 || !strings.HasSuffix(rest, "]") {
				return nil, fmt.Errorf("%s: %q is no place in a list, such as class[0]", path, part)
			}
			s.index = n
		}
		if name == "" {
			return nil, fmt.Errorf("%s: an empty key", path)
		}
		all = append(all, s)
	}
	if len(all) > maxDepth {
		return nil, fmt.Errorf("%s: too deep", path)
	}
	return all, nil
}

// Get is the value, or section, at a path.
func Get(text, path string) (any, error) {
	doc, err := Parse(text)
	if err != nil {
		return nil, err
	}
	all, err := parsePath(path)
	if err != nil {
		return nil, err
	}
	var at any = doc
	for _, s := range all {
		m, ok := at.(map[string]any)
		if ok {
			at, ok = m[s.key]
		}
		if !ok {
			return nil, fmt.Errorf("%s: not set in the shared configuration", path)
		}
		if s.index >= 0 {
			list, ok := at.([]map[string]any)
			if !ok || s.index >= len(list) {
				return nil, fmt.Errorf("%s: there is no %s[%d]", path, s.key, s.index)
			}
			at = list[s.index]
		}
	}
	return at, nil
}

// Set is the document with the value at a path, as TOML writes it: 3, "30s", true, ["a"]. A list's next place adds to it.
// An empty value takes the key out.
func Set(text, path, value string) (string, error) {
	doc, err := Parse(text)
	if err != nil {
		return "", err
	}
	all, err := parsePath(path)
	if err != nil {
		return "", err
	}
	var v any
	if value != "" {
		one := map[string]any{}
		if _, err := toml.Decode("v = "+value, &one); err != nil {
			// A word without quotes is meant as one.
			if _, err := toml.Decode("v = "+strconv.Quote(value), &one); err != nil {
				return "", fmt.Errorf("%s: %q is no value", path, value)
			}
		}
		v = one["v"]
	}
	at := doc
	for i, s := range all {
		last := i == len(all)-1
		switch {
		case s.index >= 0:
			list, _ := at[s.key].([]map[string]any)
			if s.index > len(list) {
				return "", fmt.Errorf("%s: there is no %s[%d]; the next is [%d]", path, s.key, s.index, len(list))
			}
			if last {
				if value != "" {
					return "", fmt.Errorf("%s: a section, not a value", path)
				}
				if s.index == len(list) {
					return "", fmt.Errorf("%s: there is no %s[%d]", path, s.key, s.index)
				}
				at[s.key] = slices.Delete(slices.Clone(list), s.index, s.index+1)
				continue
			}
			if s.index == len(list) {
				list = append(list, map[string]any{})
				at[s.key] = list
			}
			at = list[s.index]
		case last && value == "":
			if _, ok := at[s.key]; !ok {
				return "", fmt.Errorf("%s: not set in the shared configuration", path)
			}
			delete(at, s.key)
		case last:
			at[s.key] = v
		default:
			under, ok := at[s.key].(map[string]any)
			if !ok {
				if at[s.key] != nil {
					return "", fmt.Errorf("%s: %s is no section", path, s.key)
				}
				under = map[string]any{}
				at[s.key] = under
			}
			at = under
		}
	}
	out, err := Format(doc)
	if err != nil {
		return "", err
	}
	_, err = Parse(out)
	return out, err
}

// Equal tells whether two documents say the same.
func Equal(a, b string) bool {
	x, errA := Parse(a)
	y, errB := Parse(b)
	return errA == nil && errB == nil && reflect.DeepEqual(x, y)
}

// ErrStale is given for a change that was made to a version which is no longer the latest.
var ErrStale = errors.New("the configuration has changed meanwhile")

// NextVersion is the version that follows.
func NextVersion(latest, base uint64, v Version) (Version, error) {
	if base != latest {
		return v, fmt.Errorf("%w: version %d is the latest, the change is to %d", ErrStale, latest, base)
	}
	if strings.TrimSpace(v.Author) == "" {
		return v, errors.New("author: missing")
	}
	if len(v.Note) > MaxNoteBytes || len(v.Author) > MaxNoteBytes {
		return v, fmt.Errorf("note, author: %d bytes at most", MaxNoteBytes)
	}
	if _, err := Parse(v.Text); err != nil {
		return v, err
	}
	v.Number = latest + 1
	return v, nil
}
