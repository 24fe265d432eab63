package pool

import "strconv"

// Backend is a backend as selectors see it: the attributes and labels of its endpoint.
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

// field returns the value of a key, which is the name of an attribute or of a label. ok is false if the key is neither
// an attribute nor a label of the backend.
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
