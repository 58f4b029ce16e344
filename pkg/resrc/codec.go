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

// resourceJSON is the JSON form of a Resource, with the spec not yet decoded.
type resourceJSON struct {
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
	return json.Marshal(resourceJSON{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Spec: body})
}

// UnmarshalJSON implements json.Unmarshaler. It rejects unknown fields.
func (r *Resource) UnmarshalJSON(b []byte) error {
	var f resourceJSON
	if err := decodeStrict(b, &f, ""); err != nil {
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

// DecodeSpec decodes the JSON form of a spec of the given kind.
func DecodeSpec(kind Kind, body []byte) (Spec, error) {
	switch kind {
	case KindModel:
		return decodeSpec[Model](body)
	case KindModelVersion:
		return decodeSpec[ModelVersion](body)
	case KindAdapter:
		return decodeSpec[Adapter](body)
	case KindTarget:
		return decodeSpec[Target](body)
	case KindClientAccount:
		return decodeSpec[ClientAccount](body)
	case KindService:
		return decodeSpec[Service](body)
	}
	return nil, fault.Invalid("Kind", string(kind), "Model, ModelVersion, Adapter, Target, ClientAccount, Service")
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It fails with a
// json.UnmarshalTypeError, to which the decoder adds the field path.
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

// decodeSpec decodes the JSON form of a spec of type T.
func decodeSpec[T Spec](body []byte) (Spec, error) {
	var v T
	if len(body) == 0 {
		return nil, fault.Invalid("Spec", "", "an object")
	}
	if err := decodeStrict(body, &v, "Spec."); err != nil {
		return nil, err
	}
	return v, nil
}

// decodeStrict decodes JSON and rejects unknown fields. The failure names the
// field, with the given path prefix, if the decoder reports it.
func decodeStrict(b []byte, v any, prefix string) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		e := fault.Newf(fault.BadInput, "%s is %s; allowed: %s", prefix+typeErr.Field, typeErr.Value, allowedValues(typeErr.Type))
		e.Field = prefix + typeErr.Field
		return e
	}
	e := fault.Newf(fault.BadInput, "cannot decode JSON: %v", err).WithCause(err)
	// The decoder reports an unknown field only in the text of its error.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		e.Field = prefix + strings.Trim(name, `"`)
	}
	return e
}

// allowedValues describes the JSON values that a Go type accepts.
func allowedValues(t reflect.Type) string {
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
