package bearer_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/bearer"
)

// Guards against valid keys that are refused because of the spelling of the scheme, and
// against other schemes and empty keys that are accepted.
func TestKey(t *testing.T) {
	for _, c := range []struct {
		header, key string
		ok          bool
	}{
		{"Bearer k1", "k1", true},
		{"bearer k1", "k1", true},
		{"BEARER  k1 ", "k1", true},
		{"Bearer K1", "K1", true},
		{"Bearer ", "", false},
		{"Bearer", "", false},
		{"", "", false},
		{"Basic k1", "k1", false},
		{"Bearerk1", "", false},
	} {
		t.Run(c.header, func(t *testing.T) {
			is := is.New(t)
			key, ok := bearer.Key(http.Header{"Authorization": {c.header}})
			is.Equal(ok, c.ok)
			is.Equal(key, c.key)
		})
	}
}
