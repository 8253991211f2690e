package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
)

// maxURI is the longest path and query that are accepted, in bytes.
const maxURI = 8 << 10

// checkRequest refuses requests that HTTP implementations parse differently, and
// those that are no plain request with one response.
func checkRequest(r *http.Request) *failure.Refusal {
	path := r.URL.EscapedPath()
	lower := strings.ToLower(path)
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return failure.New(failure.BadRequest, "method %s is not allowed", r.Method)
	case len(r.RequestURI) > maxURI:
		return failure.New(failure.BadRequest, "path and query are longer than %d bytes", maxURI)
	case !strings.HasPrefix(path, "/") || r.URL.IsAbs():
		return failure.New(failure.BadRequest, "the request target must be a path")
	case strings.Contains(path, "//") || strings.Contains(path, "\\"):
		return failure.New(failure.BadRequest, "the path has empty segments or backslashes")
	case strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%00") || strings.Contains(lower, "%2e"):
		return failure.New(failure.BadRequest, "the path has an encoded slash, backslash, dot or NUL")
	case hasDotSegment(path):
		return failure.New(failure.BadRequest, "the path has . or .. segments")
	case r.Header.Get("Upgrade") != "":
		return failure.New(failure.BadRequest, "upgrades are not supported")
	case len(r.TransferEncoding) > 1 || (len(r.TransferEncoding) == 1 && r.Header.Get("Content-Length") != ""):
		return failure.New(failure.BadRequest, "the body length is ambiguous: several transfer codings, or one with a Content-Length")
	}
	return nil
}

func hasDotSegment(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

// keyOf returns the API key of a request, or "" if it has none. It refuses a
// malformed or repeated Authorization header.
func keyOf(r *http.Request) (string, *failure.Refusal) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", failure.New(failure.BadKey, "more than one Authorization header")
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || strings.ContainsAny(key, " ,") {
		return "", failure.New(failure.BadKey, "Authorization must be \"Bearer KEY\"")
	}
	return key, nil
}

// keyExposed reports whether the API key also appears in a part of the request
// that is forwarded to the target: its URI, body or another header.
func keyExposed(r *http.Request, key string, body []byte) bool {
	if key == "" {
		return false
	}
	if strings.Contains(r.RequestURI, key) || bytes.Contains(body, []byte(key)) {
		return true
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}

// readBody reads the whole body. It refuses a body over limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, *failure.Refusal) {
	if r.ContentLength > limit {
		return nil, failure.New(failure.TooLarge, "the body has %d bytes, the route accepts at most %d", r.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, failure.New(failure.BadRequest, "reading the body failed: it is truncated, malformed or too slow")
	}
	if int64(len(body)) > limit {
		return nil, failure.New(failure.TooLarge, "the body is over the %d bytes that the route accepts", limit)
	}
	return body, nil
}

// hasInternalHeader reports whether the request has a header that only nodes and
// targets may send.
func hasInternalHeader(h http.Header) bool {
	for name := range h {
		if strings.HasPrefix(name, wire.Prefix) {
			return true
		}
	}
	return false
}
