package opapi

import (
	"slices"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/store"
	"shallotcourse/pkg/resrc"
)

// checkPut refuses a resource whose references to other resources are not valid
// in the configuration that it is written to.
func checkPut(s store.Snapshot, r resrc.Resource) error {
	switch spec := r.Spec.(type) {
	case resrc.Model:
		return checkModel(s, r, spec)
	case resrc.ModelVersion:
		return checkModelVersion(s, r, spec)
	case resrc.Adapter:
		return checkAdapter(s, r.Name, spec)
	case resrc.Target:
		return checkTarget(s, spec)
	case resrc.ClientAccount:
		return checkClientAccount(s, r.Name, spec)
	case resrc.Service:
		return nil
	}
	return fault.Newf(fault.Internal, "no reference check for %T", r.Spec)
}

// checkModel allows a new model to reference a version that does not exist yet.
// Models and versions reference each other, so one must be created first;
// checkModelVersion allows the reverse. Callers can use neither before both
// exist. An update must reference an existing version of the model.
func checkModel(s store.Snapshot, r resrc.Resource, spec resrc.Model) error {
	if _, ok := s.Get(resrc.KindAdapter, r.Name); ok {
		return fault.Invalid("Name", r.Name, "a name of no Adapter, since requests select both by the model name")
	}
	version, ok := store.Spec[resrc.ModelVersion](s, spec.Version)
	if !ok && r.Revision == 0 {
		return nil
	}
	if !ok || version.Model != r.Name {
		return fault.Invalid("Spec.Version", spec.Version, "an existing ModelVersion of this model")
	}
	return nil
}

func checkModelVersion(s store.Snapshot, version resrc.Resource, spec resrc.ModelVersion) error {
	if _, ok := s.Get(resrc.KindModel, spec.Model); !ok && version.Revision > 0 {
		return fault.Invalid("Spec.Model", spec.Model, "an existing Model")
	}
	for _, r := range s.List(resrc.KindModel) {
		if r.Spec.(resrc.Model).Version == version.Name && r.Name != spec.Model {
			return fault.Invalid("Spec.Model", spec.Model, r.Name+", which serves this version")
		}
	}
	for _, r := range s.List(resrc.KindTarget) {
		target := r.Spec.(resrc.Target)
		if target.Version == version.Name && target.Layers.To > spec.Layers {
			return fault.Invalid("Spec.Layers", spec.Layers, "at least the layers of Target "+r.Name)
		}
	}
	return nil
}

func checkAdapter(s store.Snapshot, name string, spec resrc.Adapter) error {
	if _, ok := s.Get(resrc.KindModel, name); ok {
		return fault.Invalid("Name", name, "a name of no Model, since requests select both by the model name")
	}
	if _, ok := s.Get(resrc.KindModelVersion, spec.Version); !ok {
		return fault.Invalid("Spec.Version", spec.Version, "an existing ModelVersion")
	}
	for _, r := range s.List(resrc.KindTarget) {
		target := r.Spec.(resrc.Target)
		if target.Version != spec.Version && slices.Contains(target.Adapters, name) {
			return fault.Invalid("Spec.Version", spec.Version, "the version of Target "+r.Name+", which holds this adapter")
		}
	}
	return nil
}

func checkTarget(s store.Snapshot, spec resrc.Target) error {
	if spec.Service != "" {
		if _, ok := s.Get(resrc.KindService, spec.Service); !ok {
			return fault.Invalid("Spec.Service", spec.Service, "an existing Service")
		}
		return nil
	}
	version, ok := store.Spec[resrc.ModelVersion](s, spec.Version)
	if !ok {
		return fault.Invalid("Spec.Version", spec.Version, "an existing ModelVersion")
	}
	if spec.Layers.To > version.Layers {
		return fault.Invalid("Spec.Layers.To", spec.Layers.To, "at most the layers of the ModelVersion")
	}
	for _, name := range spec.Adapters {
		adapter, ok := store.Spec[resrc.Adapter](s, name)
		if !ok || adapter.Version != spec.Version {
			return fault.Invalid("Spec.Adapters", name, "existing Adapters of the same ModelVersion")
		}
	}
	return nil
}

// checkClientAccount refuses a caller key that another account has.
func checkClientAccount(s store.Snapshot, name string, spec resrc.ClientAccount) error {
	for _, r := range s.List(resrc.KindClientAccount) {
		if r.Name == name {
			continue
		}
		for _, hash := range r.Spec.(resrc.ClientAccount).KeyHashes {
			if slices.Contains(spec.KeyHashes, hash) {
				return fault.Invalid("Spec.KeyHashes", hash, "a key of no other ClientAccount")
			}
		}
	}
	return nil
}

// checkDelete refuses to delete a resource that another one references. A model
// can be deleted once no target holds a version of it, and its versions after
// the model.
func checkDelete(s store.Snapshot, kind resrc.Kind, name string) error {
	for _, other := range resrc.Kinds {
		for _, r := range s.List(other) {
			if references(s, r.Spec, kind, name) {
				e := fault.Newf(fault.Conflict, "%s %q is named by %s %q", kind, name, r.Kind, r.Name)
				e.Field = "Name"
				if current, ok := s.Get(kind, name); ok {
					e.Revision = current.Revision
				}
				return e
			}
		}
	}
	return nil
}

// references reports whether a spec refers to the given resource, directly or,
// for a target, to its model through the version.
func references(s store.Snapshot, spec resrc.Spec, kind resrc.Kind, name string) bool {
	switch spec := spec.(type) {
	case resrc.Model:
		return kind == resrc.KindModelVersion && spec.Version == name
	case resrc.Adapter:
		return kind == resrc.KindModelVersion && spec.Version == name
	case resrc.Target:
		return targetReferences(s, spec, kind, name)
	case resrc.ModelVersion, resrc.ClientAccount, resrc.Service:
		return false
	}
	return false
}

func targetReferences(s store.Snapshot, spec resrc.Target, kind resrc.Kind, name string) bool {
	switch kind {
	case resrc.KindModel:
		version, ok := store.Spec[resrc.ModelVersion](s, spec.Version)
		return ok && version.Model == name
	case resrc.KindModelVersion:
		return spec.Version == name
	case resrc.KindAdapter:
		return slices.Contains(spec.Adapters, name)
	case resrc.KindService:
		return spec.Service == name
	case resrc.KindTarget, resrc.KindClientAccount:
		return false
	}
	return false
}
