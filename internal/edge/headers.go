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

// Headers of chat requests.
const (
	traceHeader       = "X-Trace-Id"
	classHeader       = "X-Qos"
	tenantHeader      = "X-Customer"
	sessionHeader     = "X-Object"
	expiryHeader      = "X-Expires-In"
	lengthsHeader     = "X-Props"
	retryHeader       = "X-Second-Try"
	contentTypeHeader = "Content-Type"
	// resumeHeader names the paused session that a request resumes. The body has only the messages of the tools.
	resumeHeader = "X-Resume"
	// cancelHeader with the value 1, beside resumeHeader, cancels the session instead.
	cancelHeader = "X-Resume-Cancel"
)

const (
	// maxClientTimeout is the maximum timeout that a client may state.
	maxClientTimeout = time.Hour
	// responseMargin is how long before the client's timeout the response is due.
	responseMargin = 10 * time.Millisecond
)

// requestHeaders are the headers that describe a request. None may be repeated.
var requestHeaders = []string{
	traceHeader, classHeader, tenantHeader, sessionHeader, expiryHeader, lengthsHeader, retryHeader, contentTypeHeader,
	resumeHeader, cancelHeader,
}

// traceIDPattern matches a valid value of traceHeader.
var traceIDPattern = regexp.MustCompile(`^[0-9A-Za-z._-]{1,64}$`)

// malformedHeader returns the error of a request with a malformed header.
func malformedHeader(header, what string) error {
	return &requestError{http.StatusBadRequest, header + ": " + what}
}

// decode decodes the headers of a request that arrived at began. The error is a *requestError.
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

// checkHeaders makes the checks of the headers that do not depend on the settings.
func checkHeaders(r *http.Request) error {
	if r.ContentLength < 0 && !plainChunks(r) {
		return malformedHeader("Content-Length", "beside a Transfer-Encoding")
	}
	for _, name := range requestHeaders {
		if len(r.Header[name]) > 1 {
			return malformedHeader(name, "repeated")
		}
	}
	if !traceIDPattern.MatchString(r.Header.Get(traceHeader)) {
		return malformedHeader(traceHeader, "missing, or not 1 to 64 letters, digits, dots, dashes and underscores")
	}
	return nil
}

// decodeNames looks up the request's class and tenant. If no tenants are configured, any tenant name is valid.
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

// decodeLengths decodes the prefix and the lengths that a client states for its request. Unknown names are ignored.
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

// parseKey parses a hexadecimal number; an empty string is 0.
func parseKey(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 16, 64)
}

// parseTokens parses a number of tokens. NaN and values outside of 0 to maximum are errors: they must not reach the
// decision module.
func parseTokens(s string, maximum float64) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err == nil && !(n >= 0 && n <= maximum) { // written so that NaN is an error too
		err = strconv.ErrRange
	}
	return n, err
}

// parseTimeout parses a positive integer with a unit: m for milliseconds, u for microseconds.
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
