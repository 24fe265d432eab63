package pool

import (
	"slices"
	"strconv"
)

func (e *either) match(b Backend) bool {
	return slices.ContainsFunc(e.All, func(a *all) bool {
		return !slices.ContainsFunc(a.Terms, func(t *term) bool { return !t.match(b) })
	})
}

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

func (c *compare) match(b Backend) bool {
	own, ok := b.field(c.Key)
	if !ok {
		return false
	}
	switch {
	case c.Equal != nil:
		return c.Equal.Value.equals(own) == (c.Equal.Sign == "==")
	case c.Matches != nil:
		return c.Matches.pattern.MatchString(own) == (c.Matches.Sign == "=~")
	case c.In != nil:
		return slices.ContainsFunc(c.In.Values, func(v value) bool { return v.equals(own) }) != c.In.Not
	}
	return c.Order.match(own)
}

// match compares numbers; a value that is no number matches nothing.
func (o *order) match(own string) bool {
	number, err := strconv.ParseFloat(own, 64)
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

// equals compares with a text as text, and with a number as numbers.
func (v value) equals(own string) bool {
	if v.Text != nil {
		return *v.Text == own
	}
	number, err := strconv.ParseFloat(own, 64)
	return err == nil && number == *v.Number
}
