package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxDepth is how many sections a path may lead through.
const maxDepth = 8

const reasonNotSet = "not set in the shared configuration"

// PathError says what is wrong with a key or section of a document, or with a path to one.
type PathError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PathError) Error() string { return e.Path + ": " + e.Reason }

func pathErrorf(path, format string, args ...any) *PathError {
	return &PathError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// pathSegment is one part of a path: a key, and where the key holds a list of sections, an index into it.
type pathSegment struct {
	key   string
	index int // -1: none
}

// parsePath splits a path such as class[0].worth.
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
func Keys(document map[string]any) []string {
	var paths []string
	flatten(document, "", 0, func(path string, _ any) { paths = append(paths, path) })
	return paths
}

// flatten calls visit for each value within a value of a document. Empty sections count as values; what lies deeper
// than maxDepth is left out.
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
		under := key
		if path != "" {
			under = path + "." + key
		}
		flatten(section[key], under, depth+1, visit)
	}
}

// Get returns the value, or section, at a path of a document, or a *PathError.
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

// Set returns the document with the value at a path replaced. value is written as in TOML: 3, "30s", true, ["a"]; a
// word without quotes is taken as a string. An empty value removes the key, or the section of a list. Sections that
// the path leads through are created, and the index that follows a list's last appends to the list. It returns a
// *PathError for a path that cannot be set.
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
	_, err = Parse(edited) // what was set may be a node's own key, or make the document too large
	return edited, err
}

// parseValue decodes a value; nil stands for one that is empty.
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

// descend returns the section that a segment leads to, which is created where it does not exist.
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

// listFor returns the list of sections that a segment indexes. The index may be that of the section that would be next.
func listFor(section map[string]any, segment pathSegment, path string) ([]map[string]any, error) {
	list, _ := section[segment.key].([]map[string]any)
	if segment.index > len(list) {
		return nil, pathErrorf(path, "there is no %s[%d]; the next is [%d]", segment.key, segment.index, len(list))
	}
	return list, nil
}

// assign sets a path's last segment in its section; a nil value removes it.
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

// removeFromList removes a section of a list. A section of a list cannot be given a value.
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
