// Package resrc defines the configuration resources that operators declare:
// their kinds, JSON encoding and validation.
package resrc

import (
	"encoding/json"
	"time"
)

const (
	// KindModel names Model resources.
	KindModel Kind = "Model"
	// KindModelVersion names ModelVersion resources.
	KindModelVersion Kind = "ModelVersion"
	// KindAdapter names Adapter resources.
	KindAdapter Kind = "Adapter"
	// KindTarget names Target resources.
	KindTarget Kind = "Target"
	// KindClientAccount names ClientAccount resources.
	KindClientAccount Kind = "ClientAccount"
	// KindService names Service resources.
	KindService Kind = "Service"
)

const (
	// OperationPut creates or replaces a resource.
	OperationPut Operation = "Put"
	// OperationDelete removes a resource.
	OperationDelete Operation = "Delete"
)

// Kinds lists all kinds in the order in which a file of resources is applied.
var Kinds = []Kind{KindModel, KindModelVersion, KindAdapter, KindService, KindTarget, KindClientAccount}

type (
	// Kind names a kind of resource.
	Kind string

	// Operation says whether a change wrote or removed a resource.
	Operation string

	// Spec is the declared state of a resource; one type per kind.
	Spec interface {
		// Kind returns the kind that the spec belongs to.
		Kind() Kind
		// Check returns a BadInput failure for the first bad field.
		Check() error
		// spec keeps types of other packages from implementing Spec.
		spec()
	}

	// Resource is a declared object. Values are immutable.
	Resource struct {
		Kind Kind
		// Name is unique within the kind: lower case letters, digits, '-', '.'.
		Name string
		// Revision is the configuration revision of the last write to this
		// resource; 0 before the first write. In a write it is the revision
		// that the writer expects.
		Revision uint64
		// Spec is never nil in a stored resource.
		Spec Spec
	}

	// LayerRange is the half-open range [From, To) of model layers.
	LayerRange struct {
		From int
		// To is greater than From.
		To int
	}

	// Model is a model name that callers use in requests.
	Model struct {
		// Version names the ModelVersion that serves requests.
		Version string
		// MaxTokens bounds the tokens of one request, prompt and answer together.
		MaxTokens int
	}

	// ModelVersion is one set of weights of a model.
	ModelVersion struct {
		Model string
		// Layers is the number of layers, numbered from 0.
		Layers int
		// Weights is the object name in the weight store.
		Weights string
		// WeightBytes is the size of all layers together.
		WeightBytes int64
	}

	// Adapter is a small set of weights applied over a model version.
	Adapter struct {
		Version     string
		Weights     string
		WeightBytes int64
	}

	// Target is one back end, an inference engine or a plain service, with an
	// agent that runs beside it. Exactly one of Version and Service is set.
	Target struct {
		DataCentre string
		Region     string
		// Agent is the host:port of the agent beside the target.
		Agent string
		// Accelerator names the kind of accelerator.
		Accelerator string `json:",omitempty"`
		// Version names the ModelVersion that the engine should load.
		Version string `json:",omitempty"`
		// Layers is the range that the engine should load.
		Layers LayerRange `json:"Layers,omitzero"`
		// Adapters names the adapters that the engine should load.
		Adapters []string `json:",omitempty"`
		// Role is the engine's role: "Mixed", "Prefill" or "Decode".
		Role string `json:",omitempty"`
		// Service names the plain service that the target runs.
		Service string `json:",omitempty"`
		// ChecksFencing says that the target refuses an order whose fencing
		// token is below the highest that it has seen.
		ChecksFencing bool `json:",omitempty"`
		// Draining makes the agent finish its open requests and accept no new
		// ones.
		Draining bool `json:",omitempty"`
	}

	// ClientAccount is a group of callers that share API keys and limits.
	ClientAccount struct {
		// KeyHashes are hex SHA-256 digests of API keys.
		KeyHashes []string
		// Weight is the account's share in the fair queue; at least 1.
		Weight int
		// RequestsPerSecond is the sustained rate over all entries.
		RequestsPerSecond float64
		// Burst is the number of requests admitted above the rate.
		Burst int
		// Concurrency bounds open requests over all entries.
		Concurrency int
	}

	// Rule says whether a call to a service is safe to retry. The first rule
	// that matches decides; a call that matches none must not be retried.
	Rule struct {
		// Method is an HTTP method, or "*" for all.
		Method     string
		PathPrefix string
		// Repeatable says that a call may be sent to targets more than once.
		Repeatable bool
	}

	// Service is a plain service: an HTTP back end that is not a model.
	Service struct {
		Rules []Rule
		// Timeout bounds one call at the target.
		Timeout Duration
	}

	// Duration is a time.Duration with a JSON form such as "1.5s".
	Duration time.Duration

	// Change is one accepted write, as it is replicated and as it appears in the
	// audit trail.
	Change struct {
		// Revision is the configuration revision that the change created; each
		// revision has exactly one change.
		Revision uint64
		// ID is chosen by the writer before its first attempt, so that a retry
		// is recognized.
		ID string
		// Actor names the operator that wrote the change.
		Actor     string
		Time      time.Time
		Operation Operation
		Kind      Kind
		Name      string
		// FromRevision is the revision of the resource before the change; 0 if
		// it did not exist.
		FromRevision uint64
		// Body is the JSON form of the spec; empty for a delete.
		Body json.RawMessage `json:",omitempty"`
	}
)
