package settings

import (
	"fmt"
	"slices"
	"strconv"
)

// Diff returns the differences between two documents, one line for each value that was removed ("- path = old") or
// added ("+ path = new"); a changed value gives both. The lines are sorted by path.
func Diff(before, after string) ([]string, error) {
	old, err := literals(before)
	if err != nil {
		return nil, err
	}
	current, err := literals(after)
	if err != nil {
		return nil, err
	}
	var paths []string
	for path := range old {
		paths = append(paths, path)
	}
	for path := range current {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	var lines []string
	for _, path := range slices.Compact(paths) {
		oldValue, existed := old[path]
		value, exists := current[path]
		if existed && exists && oldValue == value {
			continue
		}
		if existed {
			lines = append(lines, "- "+path+" = "+oldValue)
		}
		if exists {
			lines = append(lines, "+ "+path+" = "+value)
		}
	}
	return lines, nil
}

// literals returns the values of a document as text, by path.
func literals(text string) (map[string]string, error) {
	document, err := Parse(text)
	if err != nil {
		return nil, err
	}
	values := map[string]string{}
	flatten(document, "", 0, func(path string, value any) { values[path] = literal(value) })
	return values, nil
}

// literal returns a value as text; strings are quoted.
func literal(value any) string {
	if text, ok := value.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(value)
}
