// Package catalog holds the configuration, a set of objects that operators define. It merges
// changes into it, validates it as a whole, and compiles it into the lookups that requests
// need.
package catalog

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/result"
)

// Change is an atomic set of changes to a catalog.
type Change struct {
	Put     *tinarchv1.Catalog
	Delete  []*tinarchv1.ObjectReference
	Replace bool
}

// namedObject is any object of a catalog that has a name.
type namedObject interface {
	proto.Message
	GetName() string
}

// VersionName returns the name by which other objects refer to a model version.
func VersionName(model, version string) string { return model + "/" + version }

func versionKey(version *tinarchv1.ModelVersion) string {
	return VersionName(version.GetModel(), version.GetName())
}

func nameKey[T namedObject](object T) string { return object.GetName() }

// Merge returns the catalog that results from a change, without changing current. It does not
// validate the result.
func Merge(current *tinarchv1.Catalog, change Change) (*tinarchv1.Catalog, error) {
	next := &tinarchv1.Catalog{}
	if current != nil && !change.Replace {
		next = proto.Clone(current).(*tinarchv1.Catalog)
	}
	put := &tinarchv1.Catalog{}
	if change.Put != nil {
		put = proto.Clone(change.Put).(*tinarchv1.Catalog)
	}
	next.Classes = upsert(next.Classes, put.Classes, nameKey)
	next.Kinds = upsert(next.Kinds, put.Kinds, nameKey)
	next.Models = upsert(next.Models, put.Models, nameKey)
	next.Versions = upsert(next.Versions, put.Versions, versionKey)
	next.Adapters = upsert(next.Adapters, put.Adapters, nameKey)
	next.Pools = upsert(next.Pools, put.Pools, nameKey)
	next.Tenants = upsert(next.Tenants, put.Tenants, nameKey)
	next.Services = upsert(next.Services, put.Services, nameKey)
	next.Routes = upsert(next.Routes, put.Routes, nameKey)
	for _, reference := range change.Delete {
		if !remove(next, reference) {
			return nil, result.New(result.NotFound, "%s %q can't be deleted: it does not exist",
				reference.GetType(), reference.GetName())
		}
	}
	return next, nil
}

// upsert replaces objects with the same key, adds the others, and returns all sorted by key.
func upsert[T any](current, put []T, key func(T) string) []T {
	index := make(map[string]int, len(current))
	for i, object := range current {
		index[key(object)] = i
	}
	for _, object := range put {
		if i, exists := index[key(object)]; exists {
			current[i] = object
			continue
		}
		index[key(object)] = len(current)
		current = append(current, object)
	}
	slices.SortFunc(current, func(left, right T) int { return cmp.Compare(key(left), key(right)) })
	return current
}

func remove(catalog *tinarchv1.Catalog, reference *tinarchv1.ObjectReference) bool {
	name := reference.GetName()
	switch reference.GetType() {
	case tinarchv1.ObjectType_OBJECT_TYPE_CLASS:
		return deleteKey(&catalog.Classes, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_KIND:
		return deleteKey(&catalog.Kinds, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_MODEL:
		return deleteKey(&catalog.Models, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_VERSION:
		return deleteKey(&catalog.Versions, name, versionKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_ADAPTER:
		return deleteKey(&catalog.Adapters, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_POOL:
		return deleteKey(&catalog.Pools, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_TENANT:
		return deleteKey(&catalog.Tenants, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_SERVICE:
		return deleteKey(&catalog.Services, name, nameKey)
	case tinarchv1.ObjectType_OBJECT_TYPE_ROUTE:
		return deleteKey(&catalog.Routes, name, nameKey)
	}
	return false
}

func deleteKey[T any](objects *[]T, name string, key func(T) string) bool {
	before := len(*objects)
	*objects = slices.DeleteFunc(*objects, func(object T) bool { return key(object) == name })
	return len(*objects) < before
}
