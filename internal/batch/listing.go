package batch

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
)

const (
	defaultPageSize = 20  // entries of a page if the request sets no limit
	maxPageSize     = 100 // maximum limit of a request
)

// listing is one page of a list, most recent entries first.
type listing[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// listed is implemented by the objects in listings.
type listed interface {
	listID() string
	createdAt() int64
}

func (f File) listID() string   { return f.ID }
func (f File) createdAt() int64 { return f.CreatedAt }

func (b Batch) listID() string   { return b.ID }
func (b Batch) createdAt() int64 { return b.CreatedAt }

// writeListing responds with the page of a list that the query parameters limit and after select.
func writeListing[T listed](w http.ResponseWriter, r *http.Request, objects []T) {
	limit := defaultPageSize
	if text := r.URL.Query().Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxPageSize {
			writeInvalid(w, "limit", fmt.Sprintf("limit %q; a number from 1 to %d is taken", text, maxPageSize))
			return
		}
		limit = number
	}
	sort.SliceStable(objects, func(i, j int) bool { return objects[i].createdAt() > objects[j].createdAt() })
	if after := r.URL.Query().Get("after"); after != "" {
		at := slices.IndexFunc(objects, func(object T) bool { return object.listID() == after })
		if at < 0 {
			writeInvalid(w, "after", fmt.Sprintf("no such entry: %q", after))
			return
		}
		objects = objects[at+1:]
	}
	page := listing[T]{Object: "list", Data: objects[:min(limit, len(objects))], HasMore: len(objects) > limit}
	if n := len(page.Data); n > 0 {
		page.FirstID = page.Data[0].listID()
		page.LastID = page.Data[n-1].listID()
	}
	writeJSON(w, http.StatusOK, page)
}
