// Package resrc defines the resources that operators declare: their kinds,
// their JSON form and their checks.
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

	// Operation is what a change did to a resource.
	Operation string

	// Spec is the declared state of a resource; one type per kind.
	Spec interface {
		// Kind returns the kind that the spec belongs to.
		Kind() Kind
		// Check returns a BadInput failure for the first bad field.
		Check() error
		spec()
	}

	// Resource is a declared object. Values are immutable.
	Resource struct {
		Kind Kind
		// Name is unique within the kind: lower case letters, digits, '-', '.'.
		Name string
		// Revision is the configuration revision of the last write to this
		// resource; 0 before the first write.
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

	// Model is what callers name in a request.
	Model struct {
		// Version names the ModelVersion that serves requests.
		Version string
		// MaxTokens bounds prompt plus answer of one request.
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

	// Target is one back end with an agent beside it. Exactly one of Version
	// and Service is set.
	Target struct {
		DataCentre string
		Region     string
		// Agent is the host:port of the agent beside the target.
		Agent string
		// Accelerator names the kind of accelerator.
		Accelerator string `json:",omitempty"`
		// Version names the ModelVersion that the engine is to hold.
		Version string `json:",omitempty"`
		// Layers is the range that the engine is to hold.
		Layers LayerRange `json:"Layers,omitzero"`
		// Adapters are to be loaded beside the version.
		Adapters []string `json:",omitempty"`
		// Role is the engine's role: "Mixed", "Prefill" or "Decode".
		Role string `json:",omitempty"`
		// Service names the plain service.
		Service string `json:",omitempty"`
		// ChecksFencing says that the target refuses an old fencing number.
		ChecksFencing bool `json:",omitempty"`
		// Draining asks the agent to finish its work and take no new work.
		Draining bool `json:",omitempty"`
	}

	// ClientAccount is a customer whose callers share keys and limits.
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

	// Rule says whether calls of a service may be repeated. The first rule
	// that matches decides; without a match a call is not repeatable.
	Rule struct {
		// Method is an HTTP method or "*".
		Method     string
		PathPrefix string
		Repeatable bool
	}

	// Service is a plain service beside the models.
	Service struct {
		Rules []Rule
		// Timeout bounds one call at the target.
		Timeout Duration
	}

	// Duration is a time.Duration that reads and writes as "1.5s".
	Duration time.Duration

	// Change is one accepted write: the unit of replication and of audit.
	Change struct {
		// Revision is the configuration revision that the change made; each
		// revision has exactly one change.
		Revision uint64
		// ID is chosen by the writer before the first attempt.
		ID        string
		Actor     string
		Time      time.Time
		Operation Operation
		Kind      Kind
		Name      string
		// FromRevision is the resource's revision before; 0 if it was absent.
		FromRevision uint64
		// Body is the JSON form of the spec; empty for a delete.
		Body json.RawMessage `json:",omitempty"`
	}
)
