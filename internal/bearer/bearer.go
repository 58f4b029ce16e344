// Package bearer reads keys from the Authorization header.
package bearer

import (
	"net/http"
	"strings"
)

// scheme is the authentication scheme of keys; its case does not count.
const scheme = "Bearer"

// Key returns the key that a request carries. It is not ok if the request has no key.
func Key(h http.Header) (key string, ok bool) {
	name, key, _ := strings.Cut(strings.TrimSpace(h.Get("Authorization")), " ")
	key = strings.TrimSpace(key)
	return key, key != "" && strings.EqualFold(name, scheme)
}
