package resrc

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"strings"
	"time"

	"shallotcourse/internal/fault"
)

type form struct {
	Kind     Kind
	Name     string
	Revision uint64          `json:",omitempty"`
	Spec     json.RawMessage `json:",omitempty"`
}

var durationType = reflect.TypeFor[Duration]()

// MarshalJSON implements json.Marshaler.
func (r Resource) MarshalJSON() ([]byte, error) {
	body, err := json.Marshal(r.Spec)
	if err != nil {
		return nil, err
	}
	return json.Marshal(form{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Spec: body})
}

// UnmarshalJSON implements json.Unmarshaler. Unknown fields are refused.
func (r *Resource) UnmarshalJSON(b []byte) error {
	var f form
	if err := strict(b, &f, ""); err != nil {
		return err
	}
	spec, err := DecodeSpec(f.Kind, f.Spec)
	if err != nil {
		return err
	}
	*r = Resource{Kind: f.Kind, Name: f.Name, Revision: f.Revision, Spec: spec}
	return nil
}

// WithRevision returns a copy at another revision.
func (r Resource) WithRevision(revision uint64) Resource {
	r.Revision = revision
	return r
}

// WithSpec returns a copy with another spec.
func (r Resource) WithSpec(s Spec) Resource {
	r.Spec = s
	return r
}

// DecodeSpec returns the spec of a kind from its JSON form.
func DecodeSpec(kind Kind, body []byte) (Spec, error) {
	switch kind {
	case KindModel:
		return decode[Model](body)
	case KindModelVersion:
		return decode[ModelVersion](body)
	case KindAdapter:
		return decode[Adapter](body)
	case KindTarget:
		return decode[Target](body)
	case KindClientAccount:
		return decode[ClientAccount](body)
	case KindService:
		return decode[Service](body)
	}
	return nil, fault.Invalid("Kind", string(kind), "Model, ModelVersion, Adapter, Target, ClientAccount, Service")
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. The failure is of a type to which
// the decoder adds the field path.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &json.UnmarshalTypeError{Value: string(b), Type: durationType}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &json.UnmarshalTypeError{Value: strconv.Quote(s), Type: durationType}
	}
	*d = Duration(v)
	return nil
}

func decode[T Spec](body []byte) (Spec, error) {
	var v T
	if len(body) == 0 {
		return nil, fault.Invalid("Spec", "", "an object")
	}
	if err := strict(body, &v, "Spec."); err != nil {
		return nil, err
	}
	return v, nil
}

// strict decodes JSON without unknown fields. Its failures name the field
// under the given path prefix where the decoder tells it.
func strict(b []byte, v any, prefix string) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return nil
	}
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		e := fault.Newf(fault.BadInput, "%s is %s; allowed: %s", prefix+typed.Field, typed.Value, allowed(typed.Type))
		e.Field = prefix + typed.Field
		return e
	}
	e := fault.Newf(fault.BadInput, "JSON does not decode: %v", err).WithCause(err)
	// The decoder has no type for this failure.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		e.Field = prefix + strings.Trim(name, `"`)
	}
	return e
}

func allowed(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a string such as "1.5s"`
	case t.Kind() == reflect.Struct || t.Kind() == reflect.Map:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "an array"
	}
	return "a JSON value for " + t.Kind().String()
}
