package topo

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is one version of the configuration that the operator declares. It is
// immutable.
type Config struct {
	// Version grows with each accepted change; it is 0 if there is no
	// configuration yet.
	Version uint64
	Limits  Limits

	services map[string]Service
	// byHost holds the routes of each host, longest prefix first, by its hostKey.
	byHost map[string][]Route
	// byKey holds the accounts by the hash of each of their keys.
	byKey map[uint64]keyedAccount
	// delays holds the longest delay that the services' models name between two data
	// centres, in both directions.
	delays map[[2]string]time.Duration
	// keyless says that the configuration declares no list of accounts, so that
	// requests need no key. With an empty list, no key is valid.
	keyless bool
}

// keyedAccount is an account with one of its keys, which is compared on a lookup
// because hashes may collide.
type keyedAccount struct {
	key     string
	account Account
}

// NewConfig returns a configuration. The map keys holds the keys of each account
// by its name. If accounts is nil, requests need no key; if it is only empty, no key
// is valid.
func NewConfig(version uint64, limits Limits, routes []Route, services []Service, accounts []Account, keys map[string][]string) Config {
	c := Config{
		Version: version, Limits: limits, services: map[string]Service{}, byHost: map[string][]Route{},
		byKey: map[uint64]keyedAccount{}, delays: map[[2]string]time.Duration{}, keyless: accounts == nil,
	}
	for _, s := range services {
		c.services[s.Name] = s
		c.addDelays(s.Model)
	}
	for _, r := range routes {
		c.byHost[hostKey(r.Host)] = append(c.byHost[hostKey(r.Host)], r)
	}
	for _, rs := range c.byHost {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, a := range accounts {
		for _, key := range keys[a.Name] {
			if key == "" || a.Name == "" {
				// Requests without a key, or of no account, must not match.
				continue
			}
			c.byKey[xxhash.Sum64String(key)] = keyedAccount{key, a}
		}
	}
	return c
}

func (c Config) addDelays(m *Model) {
	if m == nil {
		return
	}
	for _, d := range m.Delays {
		for _, pair := range [][2]string{{d.From, d.To}, {d.To, d.From}} {
			if named, ok := m.Delay(pair[0], pair[1]); ok {
				c.delays[pair] = max(c.delays[pair], named)
			}
		}
	}
}

// Delay returns the delay from one data centre to another, if a model names it.
func (c Config) Delay(from, to string) (time.Duration, bool) {
	d, ok := c.delays[[2]string{from, to}]
	return d, ok
}

// Match returns the route with the longest prefix that matches a host, with or
// without a port, and a path.
func (c Config) Match(host, path string) (Route, bool) {
	for _, r := range c.byHost[hostKey(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// hostKey returns the form of a host in which two spellings of the same name are
// equal: in small letters, without a port, brackets or the dot of the root.
func hostKey(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	} else if strings.HasPrefix(host, "[") {
		host = strings.Trim(host, "[]")
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Account returns the account that a key belongs to.
func (c Config) Account(key string) (Account, bool) {
	k, ok := c.byKey[xxhash.Sum64String(key)]
	return k.account, ok && k.key == key
}

// Accounts returns the accounts that have a key, in the order of their names.
func (c Config) Accounts() []Account {
	byName := map[string]Account{}
	for _, k := range c.byKey {
		byName[k.account.Name] = k.account
	}
	out := slices.Collect(maps.Values(byName))
	slices.SortFunc(out, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Keyless reports whether no list of accounts is declared, so that requests need no
// key.
func (c Config) Keyless() bool { return c.keyless }

// WithKeys returns the configuration with keys required: if it declares no list of
// accounts, that counts as an empty list.
func (c Config) WithKeys() Config {
	c.keyless = false
	return c
}

// Service returns a service by name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services in the order of their names.
func (c Config) Services() []Service {
	out := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Routes returns all routes in the order of host and prefix.
func (c Config) Routes() []Route {
	var out []Route
	for _, rs := range c.byHost {
		out = append(out, rs...)
	}
	slices.SortFunc(out, func(a, b Route) int {
		return strings.Compare(a.Host+a.Prefix, b.Host+b.Prefix)
	})
	return out
}

// Pick returns the service that a request of the route is sent to. It is chosen
// by weight from a hash of the request, so that the same request is always sent
// to the same service while the configuration is the same.
func (r Route) Pick(request string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	n := int(xxhash.Sum64String(request) % uint64(total))
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
