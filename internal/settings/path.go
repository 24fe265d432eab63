package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxDepth is the maximum number of segments in a path.
const maxDepth = 8

// reasonNotSet is the reason of a PathError for a path that has no value.
const reasonNotSet = "not set in the shared configuration"

// PathError reports an invalid key or section of a document, or an invalid path.
type PathError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PathError) Error() string { return e.Path + ": " + e.Reason }

// pathErrorf returns a PathError with a formatted reason.
func pathErrorf(path, format string, args ...any) *PathError {
	return &PathError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// pathSegment is one segment of a path: a key and, if the value is a list of sections, an index into the list.
type pathSegment struct {
	key   string
	index int // -1 if there is none
}

// parsePath splits a path, such as class[0].worth, into its segments.
func parsePath(path string) ([]pathSegment, error) {
	var segments []pathSegment
	for part := range strings.SplitSeq(path, ".") {
		segment, err := parseSegment(path, part)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	if len(segments) > maxDepth {
		return nil, &PathError{Path: path, Reason: "too deep"}
	}
	return segments, nil
}

// parseSegment parses one segment of a path.
func parseSegment(path, part string) (pathSegment, error) {
	key, rest, indexed := strings.Cut(part, "[")
	segment := pathSegment{key: key, index: -1}
	if indexed {
		index, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		if err != nil || index < 0 || !strings.HasSuffix(rest, "]") {
			return segment, pathErrorf(path, "%q is no place in a list, such as class[0]", part)
		}
		segment.index = index
	}
	if key == "" {
		return segment, &PathError{Path: path, Reason: "an empty key"}
	}
	return segment, nil
}

// Keys returns the paths of all values of a document, such as class[0].worth and move.hold, sorted within each section.
// Values nested deeper than maxDepth are left out.
func Keys(document map[string]any) []string {
	var paths []string
	flatten(document, "", 0, func(path string, _ any) { paths = append(paths, path) })
	return paths
}

// flatten calls visit for each value within a value of a document. Empty sections count as values. Values nested deeper
// than maxDepth are skipped; an index into a list counts as a level of nesting.
func flatten(value any, path string, depth int, visit func(path string, value any)) {
	if depth > maxDepth {
		return
	}
	switch value := value.(type) {
	case map[string]any:
		flattenSection(value, path, depth, visit)
	case []map[string]any:
		for i := range value {
			flatten(value[i], fmt.Sprintf("%s[%d]", path, i), depth+1, visit)
		}
	default:
		visit(path, value)
	}
}

// flattenSection is flatten for a section.
func flattenSection(section map[string]any, path string, depth int, visit func(path string, value any)) {
	if len(section) == 0 && path != "" {
		visit(path, section)
		return
	}
	keys := make([]string, 0, len(section))
	for key := range section {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		keyPath := key
		if path != "" {
			keyPath = path + "." + key
		}
		flatten(section[key], keyPath, depth+1, visit)
	}
}

// Get returns the value or section at a path of a document. The error is a *PathError if there is none.
func Get(text, path string) (any, error) {
	document, err := Parse(text)
	if err != nil {
		return nil, err
	}
	segments, err := parsePath(path)
	if err != nil {
		return nil, err
	}
	var value any = document
	for _, segment := range segments {
		section, ok := value.(map[string]any)
		if ok {
			value, ok = section[segment.key]
		}
		if !ok {
			return nil, &PathError{Path: path, Reason: reasonNotSet}
		}
		if segment.index < 0 {
			continue
		}
		list, ok := value.([]map[string]any)
		if !ok || segment.index >= len(list) {
			return nil, pathErrorf(path, "there is no %s[%d]", segment.key, segment.index)
		}
		value = list[segment.index]
	}
	return value, nil
}

// Set returns the document with the value at a path replaced. value is in TOML syntax, such as 3, "30s", true or ["a"];
// text that is not valid TOML is used as a string, so that strings need no quotes. An empty value removes the key, or
// the section of a list. Missing sections along the path are created, and an index one past the end of a list appends a
// section to it. The error is a *PathError if the path cannot be set.
func Set(text, path, value string) (string, error) {
	document, err := Parse(text)
	if err != nil {
		return "", err
	}
	segments, err := parsePath(path)
	if err != nil {
		return "", err
	}
	parsed, err := parseValue(path, value)
	if err != nil {
		return "", err
	}
	last := len(segments) - 1
	section := document
	for _, segment := range segments[:last] {
		if section, err = descend(section, segment, path); err != nil {
			return "", err
		}
	}
	if err := assign(section, segments[last], path, parsed); err != nil {
		return "", err
	}
	edited, err := Format(document)
	if err != nil {
		return "", err
	}
	_, err = Parse(edited) // the path may be a node-local key, and the document may now be too large
	return edited, err
}

// parseValue decodes a value. It returns nil if the value is empty.
func parseValue(path, value string) (any, error) {
	if value == "" {
		return nil, nil
	}
	decoded, err := decode("v = " + value)
	if err != nil {
		decoded, err = decode("v = " + strconv.Quote(value))
	}
	if err != nil {
		return nil, pathErrorf(path, "%q is no value", value)
	}
	return decoded["v"], nil
}

// descend returns the section that a segment refers to, and creates it if it does not exist.
func descend(section map[string]any, segment pathSegment, path string) (map[string]any, error) {
	if segment.index < 0 {
		return descendKey(section, segment.key, path)
	}
	list, err := listFor(section, segment, path)
	if err != nil {
		return nil, err
	}
	if segment.index == len(list) {
		list = append(list, map[string]any{})
		section[segment.key] = list
	}
	return list[segment.index], nil
}

// descendKey is descend for a segment without an index.
func descendKey(section map[string]any, key, path string) (map[string]any, error) {
	if existing, ok := section[key].(map[string]any); ok {
		return existing, nil
	}
	if section[key] != nil {
		return nil, pathErrorf(path, "%s is no section", key)
	}
	created := map[string]any{}
	section[key] = created
	return created, nil
}

// listFor returns the list of sections that a segment indexes. The index may be one past the end of the list.
func listFor(section map[string]any, segment pathSegment, path string) ([]map[string]any, error) {
	list, _ := section[segment.key].([]map[string]any)
	if segment.index > len(list) {
		return nil, pathErrorf(path, "there is no %s[%d]; the next is [%d]", segment.key, segment.index, len(list))
	}
	return list, nil
}

// assign sets the value of a path's last segment in its section. A nil value removes it.
func assign(section map[string]any, segment pathSegment, path string, value any) error {
	if segment.index >= 0 {
		return removeFromList(section, segment, path, value)
	}
	if value != nil {
		section[segment.key] = value
		return nil
	}
	if _, ok := section[segment.key]; !ok {
		return &PathError{Path: path, Reason: reasonNotSet}
	}
	delete(section, segment.key)
	return nil
}

// removeFromList removes a section from a list. value must be nil, since a section of a list cannot be set to a value.
func removeFromList(section map[string]any, segment pathSegment, path string, value any) error {
	list, err := listFor(section, segment, path)
	if err != nil {
		return err
	}
	if value != nil {
		return &PathError{Path: path, Reason: "a section, not a value"}
	}
	if segment.index == len(list) {
		return pathErrorf(path, "there is no %s[%d]", segment.key, segment.index)
	}
	section[segment.key] = slices.Delete(slices.Clone(list), segment.index, segment.index+1)
	return nil
}
