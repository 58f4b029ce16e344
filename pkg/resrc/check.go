package resrc

import (
	"fmt"
	"net"
	"regexp"
	"strings"

	"shallotcourse/internal/fault"
)

const (
	// MaxLayers bounds the layers of a model version.
	MaxLayers = 4096
	// MaxNameBytes bounds the name of a resource.
	MaxNameBytes = 128
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Kind implements Spec.
func (Model) Kind() Kind { return KindModel }

// Kind implements Spec.
func (ModelVersion) Kind() Kind { return KindModelVersion }

// Kind implements Spec.
func (Adapter) Kind() Kind { return KindAdapter }

// Kind implements Spec.
func (Target) Kind() Kind { return KindTarget }

// Kind implements Spec.
func (ClientAccount) Kind() Kind { return KindClientAccount }

// Kind implements Spec.
func (Service) Kind() Kind { return KindService }

func (Model) spec()         {}
func (ModelVersion) spec()  {}
func (Adapter) spec()       {}
func (Target) spec()        {}
func (ClientAccount) spec() {}
func (Service) spec()       {}

// Check returns a BadInput failure for the first bad field of the resource.
func (r Resource) Check() error {
	if len(r.Name) > MaxNameBytes || !namePattern.MatchString(r.Name) {
		return fault.Invalid("Name", r.Name, "lower case letters, digits, '-' and '.', at most 128")
	}
	if r.Spec == nil {
		return fault.Invalid("Spec", nil, "an object")
	}
	if r.Spec.Kind() != r.Kind {
		return fault.Invalid("Kind", string(r.Kind), string(r.Spec.Kind()))
	}
	return r.Spec.Check()
}

// Check implements Spec.
func (m Model) Check() error {
	if !namePattern.MatchString(m.Version) {
		return fault.Invalid("Spec.Version", m.Version, "the name of a ModelVersion")
	}
	if m.MaxTokens < 1 {
		return fault.Invalid("Spec.MaxTokens", m.MaxTokens, "1 or more")
	}
	return nil
}

// Check implements Spec.
func (v ModelVersion) Check() error {
	switch {
	case !namePattern.MatchString(v.Model):
		return fault.Invalid("Spec.Model", v.Model, "the name of a Model")
	case v.Layers < 1 || v.Layers > MaxLayers:
		return fault.Invalid("Spec.Layers", v.Layers, "1 to 4096")
	case v.WeightBytes < 0:
		return fault.Invalid("Spec.WeightBytes", v.WeightBytes, "0 or more")
	}
	return nil
}

// Check implements Spec.
func (a Adapter) Check() error {
	switch {
	case !namePattern.MatchString(a.Version):
		return fault.Invalid("Spec.Version", a.Version, "the name of a ModelVersion")
	case a.WeightBytes < 0:
		return fault.Invalid("Spec.WeightBytes", a.WeightBytes, "0 or more")
	}
	return nil
}

// Check implements Spec.
func (t Target) Check() error {
	if t.DataCentre == "" {
		return fault.Invalid("Spec.DataCentre", t.DataCentre, "the name of a data centre")
	}
	if _, _, err := net.SplitHostPort(t.Agent); err != nil {
		return fault.Invalid("Spec.Agent", t.Agent, "host:port")
	}
	if (t.Version == "") == (t.Service == "") {
		return fault.Invalid("Spec.Version", t.Version, "exactly one of Version and Service")
	}
	if t.Service != "" {
		return nil
	}
	if t.Layers.From < 0 || t.Layers.To <= t.Layers.From {
		return fault.Invalid("Spec.Layers", t.Layers, "0 <= From < To")
	}
	switch t.Role {
	case "", "Mixed", "Prefill", "Decode":
		return nil
	}
	return fault.Invalid("Spec.Role", t.Role, "Mixed, Prefill, Decode")
}

// Check implements Spec.
func (a ClientAccount) Check() error {
	for i, h := range a.KeyHashes {
		if !hashPattern.MatchString(h) {
			return fault.Invalid(fmt.Sprintf("Spec.KeyHashes[%d]", i), h, "64 lower case hexadecimal digits")
		}
	}
	switch {
	case a.Weight < 1:
		return fault.Invalid("Spec.Weight", a.Weight, "1 or more")
	case a.RequestsPerSecond <= 0:
		return fault.Invalid("Spec.RequestsPerSecond", a.RequestsPerSecond, "more than 0")
	case a.Burst < 1:
		return fault.Invalid("Spec.Burst", a.Burst, "1 or more")
	case a.Concurrency < 1:
		return fault.Invalid("Spec.Concurrency", a.Concurrency, "1 or more")
	}
	return nil
}

// Check implements Spec.
func (s Service) Check() error {
	for i, r := range s.Rules {
		field := fmt.Sprintf("Spec.Rules[%d]", i)
		if r.Method == "" || r.Method != strings.ToUpper(r.Method) {
			return fault.Invalid(field+".Method", r.Method, "an HTTP method in upper case, or *")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			return fault.Invalid(field+".PathPrefix", r.PathPrefix, "a path that starts with /")
		}
	}
	if s.Timeout < 0 {
		return fault.Invalid("Spec.Timeout", s.Timeout, "0 (default) or more")
	}
	return nil
}

// Repeatable reports whether a call to the service may be sent to targets more
// than once, by the first rule that matches.
func (s Service) Repeatable(method, path string) bool {
	for _, r := range s.Rules {
		if (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r.Repeatable
		}
	}
	return false
}
