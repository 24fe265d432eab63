package edge

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"standpoint"
)

const (
	traceHeader       = "X-Trace-Id"
	classHeader       = "X-Qos"
	tenantHeader      = "X-Customer"
	sessionHeader     = "X-Object"
	expiryHeader      = "X-Expires-In"
	lengthsHeader     = "X-Props"
	retryHeader       = "X-Second-Try"
	contentTypeHeader = "Content-Type"
	// A request with resumeHeader resumes a paused session, and one with cancelHeader too cancels it. Their bodies hold
	// the messages of the tools alone.
	resumeHeader = "X-Resume"
	cancelHeader = "X-Resume-Cancel"
)

const (
	// maxClientTimeout is the longest that a client may state that it waits.
	maxClientTimeout = time.Hour
	// responseMargin is how long before the client gives up its answer comes.
	responseMargin = 10 * time.Millisecond
)

// requestHeaders are the headers that tell what a request is; none may stand twice.
var requestHeaders = []string{
	traceHeader, classHeader, tenantHeader, sessionHeader, expiryHeader, lengthsHeader, retryHeader, contentTypeHeader,
	resumeHeader, cancelHeader,
}

var traceForm = regexp.MustCompile(`^[0-9A-Za-z._-]{1,64}$`)

// malformedHeader returns the error of a request with a wrong header.
func malformedHeader(header, what string) error {
	return &requestError{http.StatusBadRequest, header + ": " + what}
}

// decode reads the headers of a request that began to be served at a time. The error is a *requestError.
func (f *Front) decode(r *http.Request, began time.Time) (standpoint.Request, error) {
	var request standpoint.Request
	if err := checkHeaders(r); err != nil {
		return request, err
	}
	if err := f.decodeNames(r.Header, &request); err != nil {
		return request, err
	}
	var err error
	if request.Session, err = parseKey(r.Header.Get(sessionHeader)); err != nil {
		return request, malformedHeader(sessionHeader, "not a hex number of at most 16 digits")
	}
	timeout, err := parseTimeout(r.Header.Get(expiryHeader))
	if err != nil {
		return request, malformedHeader(expiryHeader, err.Error())
	}
	request.Deadline = f.Core.Expires(began, timeout-responseMargin)
	if err := decodeLengths(r.Header.Get(lengthsHeader), &request); err != nil {
		return request, err
	}
	switch r.Header.Get(retryHeader) {
	case "1":
		request.Retry = true
	case "again":
		request.Resumed = true
	}
	return request, nil
}

// checkHeaders checks the headers whose values do not depend on the settings.
func checkHeaders(r *http.Request) error {
	if r.ContentLength < 0 && !plainChunks(r) {
		return malformedHeader("Content-Length", "beside a Transfer-Encoding")
	}
	for _, name := range requestHeaders {
		if len(r.Header[name]) > 1 {
			return malformedHeader(name, "repeated")
		}
	}
	if !traceForm.MatchString(r.Header.Get(traceHeader)) {
		return malformedHeader(traceHeader, "missing, or not 1 to 64 letters, digits, dots, dashes and underscores")
	}
	return nil
}

// decodeNames looks up the request's class and tenant. Where no tenants are configured any name is taken.
func (f *Front) decodeNames(header http.Header, request *standpoint.Request) error {
	indexes := f.indexes.Load()
	var ok bool
	if request.Class, ok = indexes.classes[header.Get(classHeader)]; !ok {
		return malformedHeader(classHeader, fmt.Sprintf("unknown class %q", header.Get(classHeader)))
	}
	if request.Tenant, ok = indexes.tenants[header.Get(tenantHeader)]; !ok && len(indexes.tenants) > 0 {
		return malformedHeader(tenantHeader, fmt.Sprintf("unknown tenant %q", header.Get(tenantHeader)))
	}
	return nil
}

// decodeLengths reads the prefix and the lengths that a client states of its request. Unknown names are passed over.
func decodeLengths(value string, request *standpoint.Request) error {
	var err error
	for _, property := range strings.Split(value, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(property), "=")
		switch name {
		case "prefix":
			request.Prefix, err = parseKey(value)
		case "prompt_len":
			request.PromptTokens, err = parseTokens(value, maxBodyBytes/charsPerToken)
		case "prefix_len":
			request.PrefixTokens, err = parseTokens(value, maxBodyBytes/charsPerToken)
		case "max_out":
			request.MaxTokens, err = parseTokens(value, maxOutputTokens)
		}
		if err != nil {
			return malformedHeader(lengthsHeader, fmt.Sprintf("%s: %q is no such value", name, value))
		}
	}
	return nil
}

// parseKey reads a hexadecimal number; 0 if it is left out.
func parseKey(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 16, 64)
}

// parseTokens reads a number of tokens. One that is not a number, or out of bounds, must not reach the decision module.
func parseTokens(s string, maximum float64) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err == nil && !(n >= 0 && n <= maximum) { // so that NaN is out of bounds too
		err = strconv.ErrRange
	}
	return n, err
}

// parseTimeout reads a positive number with its unit: m for milliseconds, u for microseconds.
func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return 0, errors.New("missing")
	}
	unit, known := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	if !known {
		return 0, fmt.Errorf("%q is no positive number with the unit m or u", s)
	}
	n, err := strconv.ParseInt(s[:len(s)-1], 10, 64)
	if err != nil || n <= 0 || n > int64(maxClientTimeout/unit) {
		return 0, fmt.Errorf("%q is no positive number with the unit m or u", s)
	}
	return time.Duration(n) * unit, nil
}
