package pool

import "strconv"

// Backend is what selectors see of a backend: its endpoint's attributes.
type Backend struct {
	Name    string
	Address string
	Site    string
	Kind    string
	Mode    string
	Cell    int
	Size    float64
	Labels  map[string]string
}

// field is the value of a key: an attribute, or else a label. ok is false if the backend has no such label.
func (b Backend) field(key string) (text string, ok bool) {
	switch key {
	case "name":
		return b.Name, true
	case "address":
		return b.Address, true
	case "site", "zone":
		return b.Site, true
	case "kind", "class":
		return b.Kind, true
	case "mode":
		return b.Mode, true
	case "cell", "block":
		return strconv.Itoa(b.Cell), true
	case "size", "share":
		return strconv.FormatFloat(b.Size, 'g', -1, 64), true
	}
	text, ok = b.Labels[key]
	return text, ok
}
