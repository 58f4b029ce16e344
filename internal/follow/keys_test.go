package follow_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/topo"
)

// accountSource decodes a configuration whose version is the number of bytes, and which
// declares an account if its first byte is "a", an empty list if it is "e", and nothing
// otherwise.
type accountSource struct{ follow.Source }

func (accountSource) Decode(raw []byte) (topo.Config, error) {
	var accounts []topo.Account
	keys := map[string][]string{}
	switch raw[0] {
	case 'a':
		accounts, keys["acme"] = []topo.Account{{Name: "acme"}}, []string{"key-acme"}
	case 'e':
		accounts = []topo.Account{}
	}
	return topo.NewConfig(uint64(len(raw)), topo.Limits{}, nil, nil, accounts, keys), nil
}

// Guards against routes that are open to everybody (CONFIG) because a version without
// the last account leaves the list of accounts out.
func TestRoutesStayClosedWithoutAccounts(t *testing.T) {
	for _, c := range []struct {
		name, versions string
		require, open  bool
	}{
		{"never any accounts", "n nn", false, true},
		{"the last account goes", "a ee", false, false},
		{"the list goes", "a nn", false, false},
		{"the list goes and stays away", "a nn nnn", false, false},
		{"the list goes after it was empty", "a ee nnn", false, false},
		{"required from the start", "n", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			configs := follow.NewConfigs(accountSource{}, fast{}, func() time.Duration { return time.Minute }, log.NewNopLogger())
			configs.SetRequireKeys(c.require)
			for raw := range strings.FieldsSeq(c.versions) {
				configs.ApplySync(uint64(len(raw)), []byte(raw), time.Minute, "store")
			}
			config := configs.Section().Value()
			is.Equal(config.Keyless(), c.open)
			_, known := config.Account("key-acme")
			is.True(!known)
		})
	}
}
