package pool

import (
	"slices"
	"strconv"
)

// match reports whether at least one alternative matches, that is, whether all its terms match.
func (e *either) match(b Backend) bool {
	return slices.ContainsFunc(e.All, func(a *all) bool {
		return !slices.ContainsFunc(a.Terms, func(t *term) bool { return !t.match(b) })
	})
}

// match reports whether the term matches.
func (t *term) match(b Backend) bool {
	switch {
	case t.Not != nil:
		return !t.Not.match(b)
	case t.Group != nil:
		return t.Group.match(b)
	case t.Has != nil:
		_, ok := b.field(*t.Has)
		return ok
	case t.Truth != nil:
		return bool(*t.Truth)
	}
	return t.Compare.match(b)
}

// match reports whether the comparison holds. It never holds for a label that the backend does not have.
func (c *compare) match(b Backend) bool {
	fieldValue, ok := b.field(c.Key)
	if !ok {
		return false
	}
	switch {
	case c.Equal != nil:
		return c.Equal.Value.equals(fieldValue) == (c.Equal.Sign == "==")
	case c.Matches != nil:
		return c.Matches.pattern.MatchString(fieldValue) == (c.Matches.Sign == "=~")
	case c.In != nil:
		return slices.ContainsFunc(c.In.Values, func(v value) bool { return v.equals(fieldValue) }) != c.In.Not
	}
	return c.Order.match(fieldValue)
}

// match compares a field's value with the number. A value that is not a number never matches.
func (o *order) match(fieldValue string) bool {
	number, err := strconv.ParseFloat(fieldValue, 64)
	if err != nil {
		return false
	}
	switch o.Sign {
	case "<":
		return number < o.Number
	case "<=":
		return number <= o.Number
	case ">":
		return number > o.Number
	}
	return number >= o.Number
}

// equals reports whether a field's value equals v, as text if v is a string, or else as a number.
func (v value) equals(fieldValue string) bool {
	if v.Text != nil {
		return *v.Text == fieldValue
	}
	number, err := strconv.ParseFloat(fieldValue, 64)
	return err == nil && number == *v.Number
}
