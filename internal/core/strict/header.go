package strict

import (
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// tokenSymbols are the characters of a token besides letters and digits (RFC 9110, section
// 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// maxQuoted bounds what an error quotes of a name, in bytes.
const maxQuoted = 64

// CheckHeader returns trace.BadParameter if the name of a field in the header or trailer of a
// response is no token. net/http accepts blanks in names, also behind one that tells the
// length of the body, and does not read the length then.
func CheckHeader(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return trace.BadParameter("response has malformed field name %q", name[:min(len(name), maxQuoted)])
		}
	}
	return nil
}

func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return name != ""
}
