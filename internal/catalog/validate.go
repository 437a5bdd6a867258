package catalog

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/result"
)

const (
	maxWeight        = 1000
	maxDeadlineMs    = 24 * 3600 * 1000
	maxContextTokens = 16 << 20
	maxKeyWindow     = 7 * 24 * 3600
	maxCells         = 256
	digestHexLength  = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62})$`)

// Violations lists the mistakes in a catalog. It implements error.
type Violations []*tinarchv1.Violation

// Error returns all mistakes, one per line.
func (v Violations) Error() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = fmt.Sprintf("%s: %s: %s", violation.GetObject(), violation.GetField(), violation.GetMessage())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the list as a result.Error, so that it has a result code.
func (v Violations) Unwrap() error {
	return result.New(result.InvalidCatalog, "%d mistakes in the configuration:\n%s", len(v), v.Error())
}

type validator struct {
	catalog      *tinarchv1.Catalog
	violations   Violations
	classes      map[string]bool
	kinds        map[string]bool
	models       map[string]*tinarchv1.Model
	versions     map[string]bool
	adapters     map[string]*tinarchv1.Adapter
	pools        map[string]bool
	digestOwners map[string]string
}

// Validate checks a catalog as a whole and returns all mistakes.
func Validate(catalog *tinarchv1.Catalog) Violations {
	v := &validator{
		catalog:      catalog,
		classes:      map[string]bool{},
		kinds:        map[string]bool{},
		models:       map[string]*tinarchv1.Model{},
		versions:     map[string]bool{},
		adapters:     map[string]*tinarchv1.Adapter{},
		pools:        map[string]bool{},
		digestOwners: map[string]string{},
	}
	v.collect()
	v.checkClasses()
	v.checkPools()
	v.checkModels()
	v.checkVersions()
	v.checkAdapters()
	v.checkKinds()
	v.checkTenants()
	v.checkServices()
	v.checkRoutes()
	return v.violations
}

func (v *validator) addViolation(object, field, format string, arguments ...any) {
	v.violations = append(v.violations, &tinarchv1.Violation{Object: object, Field: field, Message: fmt.Sprintf(format, arguments...)})
}

// checkName checks the form of an object's name, and adds a violation if it is a duplicate: if
// an earlier object of the same type in the catalog has the name.
func (v *validator) checkName(object, name string, duplicate bool) {
	if !namePattern.MatchString(name) {
		v.addViolation(object, "name", "%q is not a name; use 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit", name)
	}
	if duplicate {
		v.addViolation(object, "name", "the name stands twice; remove one of the two")
	}
}

// collect checks and records the names of the objects to which others refer, so that the order
// of objects in the catalog does not matter.
func (v *validator) collect() {
	for _, class := range v.catalog.GetClasses() {
		v.checkName("class "+class.GetName(), class.GetName(), v.classes[class.GetName()])
		v.classes[class.GetName()] = true
	}
	for _, kind := range v.catalog.GetKinds() {
		v.checkName("kind "+kind.GetName(), kind.GetName(), v.kinds[kind.GetName()])
		v.kinds[kind.GetName()] = true
	}
	for _, model := range v.catalog.GetModels() {
		v.checkName("model "+model.GetName(), model.GetName(), v.models[model.GetName()] != nil)
		v.models[model.GetName()] = model
	}
	for _, version := range v.catalog.GetVersions() {
		key := versionKey(version)
		v.checkName("version "+key, version.GetName(), v.versions[key])
		v.versions[key] = true
	}
	for _, adapter := range v.catalog.GetAdapters() {
		v.checkName("adapter "+adapter.GetName(), adapter.GetName(), v.adapters[adapter.GetName()] != nil)
		v.adapters[adapter.GetName()] = adapter
	}
	for _, pool := range v.catalog.GetPools() {
		v.checkName("pool "+pool.GetName(), pool.GetName(), v.pools[pool.GetName()])
		v.pools[pool.GetName()] = true
	}
}

func (v *validator) checkClasses() {
	for _, class := range v.catalog.GetClasses() {
		object := "class " + class.GetName()
		if class.GetWeight() < 1 || class.GetWeight() > maxWeight {
			v.addViolation(object, "weight", "%d is out of range; use 1 to %d", class.GetWeight(), maxWeight)
		}
	}
}

func (v *validator) checkPools() {
	for _, pool := range v.catalog.GetPools() {
		v.checkPoolCells(pool)
		if pool.GetMaxUnavailablePercent() > 100 {
			v.addViolation("pool "+pool.GetName(), "max_unavailable_percent", "%d is out of range; use 0 to 100", pool.GetMaxUnavailablePercent())
		}
	}
}

func (v *validator) checkPoolCells(pool *tinarchv1.Pool) {
	if pool.GetCells() > maxCells {
		v.addViolation("pool "+pool.GetName(), "cells", "%d is out of range; use 0 to %d", pool.GetCells(), maxCells)
	}
}

func (v *validator) checkModels() {
	for _, model := range v.catalog.GetModels() {
		object := "model " + model.GetName()
		if !v.pools[model.GetPool()] {
			v.addViolation(object, "pool", "pool %q does not exist; add it or name another", model.GetPool())
		}
		if model.GetContextTokens() < 1 || model.GetContextTokens() > maxContextTokens {
			v.addViolation(object, "context_tokens", "%d is out of range; use 1 to %d", model.GetContextTokens(), maxContextTokens)
		}
		if !v.versions[VersionName(model.GetName(), model.GetDefaultVersion())] {
			v.addViolation(object, "default_version", "version %q of the model does not exist; add it or name another", model.GetDefaultVersion())
		}
	}
}

// checkVersions checks the versions of models. Weights is the name of an object in the weight
// store, from which engines load weights. No node accesses that store, so the name is only
// required to be set; the same holds for adapters.
func (v *validator) checkVersions() {
	for _, version := range v.catalog.GetVersions() {
		object := "version " + versionKey(version)
		if v.models[version.GetModel()] == nil {
			v.addViolation(object, "model", "model %q does not exist; add it or name another", version.GetModel())
		}
		if version.GetWeights() == "" {
			v.addViolation(object, "weights", "the object in the weight store is missing; name it")
		}
	}
}

func (v *validator) checkAdapters() {
	for _, adapter := range v.catalog.GetAdapters() {
		object := "adapter " + adapter.GetName()
		if v.models[adapter.GetModel()] == nil {
			v.addViolation(object, "model", "model %q does not exist; add it or name another", adapter.GetModel())
		}
		if adapter.GetWeights() == "" {
			v.addViolation(object, "weights", "the object in the weight store is missing; name it")
		}
	}
}

func (v *validator) checkKinds() {
	for _, kind := range v.catalog.GetKinds() {
		object := "kind " + kind.GetName()
		if kind.GetPriorityClass() != "" && !v.classes[kind.GetPriorityClass()] {
			v.addViolation(object, "priority_class", "class %q does not exist; add it or name another", kind.GetPriorityClass())
		}
		if kind.GetDeadlineMs() < 1 || kind.GetDeadlineMs() > maxDeadlineMs {
			v.addViolation(object, "deadline_ms", "%d is out of range; use 1 to %d", kind.GetDeadlineMs(), maxDeadlineMs)
		}
		if kind.GetFirstTokenMs() > kind.GetDeadlineMs() {
			v.addViolation(object, "first_token_ms", "%d is later than the deadline of %d ms; lower it", kind.GetFirstTokenMs(), kind.GetDeadlineMs())
		}
		if kind.GetMaxOutputTokens() < 1 {
			v.addViolation(object, "max_output_tokens", "it is missing; use at least 1")
		}
		if kind.GetKeyWindowSeconds() > maxKeyWindow {
			v.addViolation(object, "key_window_seconds", "%d is out of range; use 0 to %d", kind.GetKeyWindowSeconds(), maxKeyWindow)
		}
		// The key is the idempotency key of a request of this kind, not a tenant's API key.
		if window := uint64(kind.GetKeyWindowSeconds()) * 1000; window > 0 && window < 2*uint64(kind.GetDeadlineMs()) {
			v.addViolation(object, "key_window_seconds", "a key must be remembered for at least twice the deadline, %d seconds", 2*uint64(kind.GetDeadlineMs())/1000)
		}
		v.checkKindModel(object, kind)
	}
}

func (v *validator) checkKindModel(object string, kind *tinarchv1.RequestKind) {
	model := v.models[kind.GetModel()]
	if model == nil {
		v.addViolation(object, "model", "model %q does not exist; add it or name another", kind.GetModel())
		return
	}
	if kind.GetVersion() != "" && !v.versions[VersionName(kind.GetModel(), kind.GetVersion())] {
		v.addViolation(object, "version", "version %q of model %q does not exist; add it or name another", kind.GetVersion(), kind.GetModel())
	}
	if kind.GetAdapter() != "" {
		adapter := v.adapters[kind.GetAdapter()]
		if adapter == nil {
			v.addViolation(object, "adapter", "adapter %q does not exist; add it or name another", kind.GetAdapter())
		} else if adapter.GetModel() != kind.GetModel() {
			v.addViolation(object, "adapter", "adapter %q extends model %q, not %q", kind.GetAdapter(), adapter.GetModel(), kind.GetModel())
		}
	}
	total := uint64(kind.GetMaxPromptTokens()) + uint64(kind.GetMaxOutputTokens())
	if total > uint64(model.GetContextTokens()) {
		v.addViolation(object, "max_prompt_tokens", "prompt and output of %d tokens exceed the context window of %d of model %q; lower them",
			total, model.GetContextTokens(), model.GetName())
	}
}

func (v *validator) checkTenants() {
	seen := map[string]bool{}
	for _, tenant := range v.catalog.GetTenants() {
		object := "tenant " + tenant.GetName()
		v.checkName(object, tenant.GetName(), seen[tenant.GetName()])
		seen[tenant.GetName()] = true
		if !v.classes[tenant.GetPriorityClass()] {
			v.addViolation(object, "priority_class", "class %q does not exist; add it or name another", tenant.GetPriorityClass())
		}
		if tenant.GetDefaultKind() != "" && !v.kinds[tenant.GetDefaultKind()] {
			v.addViolation(object, "default_kind", "kind %q does not exist; add it or name another", tenant.GetDefaultKind())
		}
		for _, kind := range tenant.GetKinds() {
			if !v.kinds[kind] {
				v.addViolation(object, "kinds", "kind %q does not exist; add it or remove it here", kind)
			}
		}
		v.checkDigests(object, tenant)
	}
}

func (v *validator) checkDigests(object string, tenant *tinarchv1.Tenant) {
	for _, digest := range tenant.GetKeySha256() {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw)*2 != digestHexLength || strings.ToLower(digest) != digest {
			v.addViolation(object, "key_sha256", "%q is not a SHA-256 digest in lower-case hexadecimal; use the output of `tinarch key`", digest)
		}
		if owner, taken := v.digestOwners[digest]; taken {
			v.addViolation(object, "key_sha256", "the digest is also that of tenant %q; give each tenant keys of its own", owner)
		}
		v.digestOwners[digest] = tenant.GetName()
	}
}
