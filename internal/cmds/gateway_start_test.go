package cmds

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
)

// Guards against gateways that serve nobody for a second after a start, because they
// wait for others that are down, although the store never comes back from a copy.
func TestGatewayStartsAtOnceWithoutEras(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	site.Store.SetEra(0)
	site.Store.PutJSON("gateways", "gone", map[string]any{"Instance": "gone", "Address": "127.0.0.1:1", "DataCentre": "x"})
	start := time.Now()
	g := startGateway(t, "g1", store, func(s *conf.Gateway) { s.FirstStart = false })
	for g.configs.Section().Value().Version == 0 && time.Since(start) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(time.Since(start) < 700*time.Millisecond)
}
