package catalog

import (
	"encoding/hex"
	"slices"
	"time"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/tenant"
)

const (
	defaultMaxQueued        = 1024
	defaultKeyWindow        = 10 * time.Minute
	defaultBurstSeconds     = 10
	defaultMaxUnavailable   = 25
	defaultRunningPerEngine = 32
	defaultShare            = 1
)

// Snapshot is one accepted revision of the catalog, compiled for lookups. It is immutable.
type Snapshot struct {
	Revision uint64
	Catalog  *tinarchv1.Catalog

	classes  map[string]*tinarchv1.PriorityClass
	kinds    map[string]*Kind
	models   map[string]*tinarchv1.Model
	versions map[string]*tinarchv1.ModelVersion
	adapters map[string]*tinarchv1.Adapter
	pools    map[string]*tinarchv1.Pool
	tenants  map[string]*tinarchv1.Tenant
	// keys finds the tenant that an API key belongs to.
	keys *tenant.Keyring[*tinarchv1.Tenant]
}

// Kind is a request kind with its references resolved and defaults filled in. FirstToken is the
// objective for the time to the first token, and KeyWindow how long an idempotency key is
// remembered.
type Kind struct {
	Name    string
	Class   string // empty: the tenant's class
	Model   string
	Version string
	Adapter string
	Pool    string
	// Pinned says that the kind names its model version, instead of following the model's
	// default version.
	Pinned          bool
	Repeatable      bool
	Deadline        time.Duration
	FirstToken      time.Duration
	MaxPromptTokens int
	MaxOutputTokens int
	KeyWindow       time.Duration
}

// Compile validates a catalog and builds its lookups.
func Compile(revision uint64, source *tinarchv1.Catalog) (*Snapshot, error) {
	if violations := Validate(source); len(violations) > 0 {
		return nil, violations
	}
	s := &Snapshot{
		Revision: revision,
		Catalog:  source,
		classes:  index(source.GetClasses(), nameKey),
		models:   index(source.GetModels(), nameKey),
		versions: index(source.GetVersions(), versionKey),
		adapters: index(source.GetAdapters(), nameKey),
		pools:    index(source.GetPools(), nameKey),
		tenants:  index(source.GetTenants(), nameKey),
		kinds:    map[string]*Kind{},
		keys:     tenant.NewKeyring[*tinarchv1.Tenant](),
	}
	for _, kind := range source.GetKinds() {
		s.kinds[kind.GetName()] = s.resolveKind(kind)
	}
	for _, tenant := range source.GetTenants() {
		s.addKeys(tenant)
	}
	return s, nil
}

func index[T any](objects []T, key func(T) string) map[string]T {
	indexed := make(map[string]T, len(objects))
	for _, object := range objects {
		indexed[key(object)] = object
	}
	return indexed
}

func (s *Snapshot) resolveKind(kind *tinarchv1.RequestKind) *Kind {
	model := s.models[kind.GetModel()]
	resolved := &Kind{
		Name:            kind.GetName(),
		Class:           kind.GetPriorityClass(),
		Model:           kind.GetModel(),
		Version:         kind.GetVersion(),
		Adapter:         kind.GetAdapter(),
		Pool:            model.GetPool(),
		Repeatable:      kind.GetRepeatable(),
		Deadline:        milliseconds(kind.GetDeadlineMs()),
		FirstToken:      milliseconds(kind.GetFirstTokenMs()),
		MaxPromptTokens: int(kind.GetMaxPromptTokens()),
		MaxOutputTokens: int(kind.GetMaxOutputTokens()),
		KeyWindow:       time.Duration(kind.GetKeyWindowSeconds()) * time.Second,
	}
	resolved.Pinned = resolved.Version != ""
	if !resolved.Pinned {
		resolved.Version = model.GetDefaultVersion()
	}
	if resolved.FirstToken == 0 {
		resolved.FirstToken = resolved.Deadline
	}
	if resolved.MaxPromptTokens == 0 {
		resolved.MaxPromptTokens = int(model.GetContextTokens()) - resolved.MaxOutputTokens
	}
	if resolved.KeyWindow == 0 {
		// An idempotency key must be remembered for longer than any request with that key can
		// take.
		resolved.KeyWindow = max(defaultKeyWindow, 2*resolved.Deadline)
	}
	return resolved
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

func (s *Snapshot) addKeys(owner *tinarchv1.Tenant) {
	for _, hexDigest := range owner.GetKeySha256() {
		var digest tenant.Digest
		_, _ = hex.Decode(digest[:], []byte(hexDigest)) // Validate has checked that it is hexadecimal
		s.keys.Add(digest, owner)
	}
}

// KeyDigest returns the digest of an API key in the form of a tenant's key_sha256.
func KeyDigest(key string) string {
	digest := tenant.DigestOf(key)
	return hex.EncodeToString(digest[:])
}

// TenantByKey returns the tenant that an API key belongs to. Digests are compared in constant
// time.
func (s *Snapshot) TenantByKey(key string) (*tinarchv1.Tenant, error) {
	if owner, found := s.keys.Owner(key); found {
		return owner, nil
	}
	return nil, result.New(result.Unauthenticated, "the API key is not known; send a valid one as \"Authorization: Bearer KEY\"")
}

// KindFor returns the kind of a request: the one it names, or else the tenant's default kind.
// If the request names a model too, it must be the model of that kind.
func (s *Snapshot) KindFor(tenant *tinarchv1.Tenant, name, model string) (*Kind, error) {
	if name == "" {
		name = tenant.GetDefaultKind()
	}
	if name == "" {
		return nil, result.New(result.UnknownKind, "the request names no kind and tenant %s has no default; set the Tinarch-Kind header", tenant.GetName())
	}
	kind := s.kinds[name]
	if kind == nil {
		return nil, result.New(result.UnknownKind, "kind %q is not configured; see `tinarch get`", name)
	}
	if allowed := tenant.GetKinds(); len(allowed) > 0 && !slices.Contains(allowed, name) {
		return nil, result.New(result.PermissionDenied, "tenant %s may not use kind %q", tenant.GetName(), name)
	}
	if model != "" && model != kind.Model {
		return nil, result.New(result.UnknownModel, "kind %q is served by model %q, not %q; name that model or another kind", name, kind.Model, model)
	}
	return kind, nil
}

// Resolve looks up a tenant and a kind by name.
func (s *Snapshot) Resolve(tenant, kind string) (*tinarchv1.Tenant, *Kind, error) {
	foundTenant, foundKind := s.tenants[tenant], s.kinds[kind]
	if foundTenant == nil {
		return nil, nil, result.New(result.PermissionDenied, "tenant %q is not configured any more", tenant)
	}
	if foundKind == nil {
		return nil, nil, result.New(result.UnknownKind, "kind %q is not configured any more", kind)
	}
	return foundTenant, foundKind, nil
}

// ClassOf returns the priority class of a request: that of its kind, or else that of its
// tenant.
func (s *Snapshot) ClassOf(tenant *tinarchv1.Tenant, kind *Kind) *tinarchv1.PriorityClass {
	if kind.Class != "" {
		return s.classes[kind.Class]
	}
	return s.classes[tenant.GetPriorityClass()]
}

// Kind returns a kind by name, nil if there is none.
func (s *Snapshot) Kind(name string) *Kind { return s.kinds[name] }

// Class returns a priority class by name, nil if there is none.
func (s *Snapshot) Class(name string) *tinarchv1.PriorityClass { return s.classes[name] }

// Version returns a model version, nil if there is none.
func (s *Snapshot) Version(model, version string) *tinarchv1.ModelVersion {
	return s.versions[VersionName(model, version)]
}

// ServedBy reports whether the model is assigned to the pool.
func (s *Snapshot) ServedBy(model, pool string) bool {
	found := s.models[model]
	return found != nil && found.GetPool() == pool
}

// Pool returns a pool by name, nil if there is none.
func (s *Snapshot) Pool(name string) *tinarchv1.Pool { return s.pools[name] }

// MaxQueued returns how many requests of a class may wait in one cell.
func MaxQueued(class *tinarchv1.PriorityClass) int {
	return orDefault(int(class.GetMaxQueued()), defaultMaxQueued)
}

// BurstSeconds returns for how many seconds of its token rate a tenant may accumulate unused
// tokens.
func BurstSeconds(tenant *tinarchv1.Tenant) int {
	return orDefault(int(tenant.GetBurstSeconds()), defaultBurstSeconds)
}

// MaxUnavailablePercent returns the percentage of a pool's engines that may be out of service
// at once because of changes.
func MaxUnavailablePercent(pool *tinarchv1.Pool) int {
	return orDefault(int(pool.GetMaxUnavailablePercent()), defaultMaxUnavailable)
}

// MaxRunningPerEngine returns how many requests an engine of the pool runs at once.
func MaxRunningPerEngine(pool *tinarchv1.Pool) int {
	return orDefault(int(pool.GetMaxRunningPerEngine()), defaultRunningPerEngine)
}

// Cells returns the number of cells into which a pool is divided. Each cell has a part of the
// pool's engines and a scheduler of its own, see package cell.
func Cells(pool *tinarchv1.Pool) int { return orDefault(int(pool.GetCells()), 1) }

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// Demand is a model version that a pool must serve. Share is the model's share of the pool's
// engines, relative to the shares of the other demands.
type Demand struct {
	Model     string
	Version   string
	Share     int
	SizeBytes uint64
	Adapters  []string
}

// Demands returns the model versions that a pool must serve, sorted by name: the default
// version of each of its models, and each other version that a kind names.
func (s *Snapshot) Demands(pool string) []Demand {
	var demands []Demand
	for _, model := range s.Catalog.GetModels() {
		if model.GetPool() != pool {
			continue
		}
		for _, version := range s.versionsInUse(model) {
			demands = append(demands, Demand{
				Model:     model.GetName(),
				Version:   version,
				Share:     orDefault(int(model.GetShare()), defaultShare),
				SizeBytes: s.Version(model.GetName(), version).GetSizeBytes(),
				Adapters:  s.adaptersOf(model.GetName(), version),
			})
		}
	}
	return demands
}

func (s *Snapshot) versionsInUse(model *tinarchv1.Model) []string {
	versions := []string{model.GetDefaultVersion()}
	for _, kind := range s.Catalog.GetKinds() {
		resolved := s.kinds[kind.GetName()]
		if resolved.Model == model.GetName() && !slices.Contains(versions, resolved.Version) {
			versions = append(versions, resolved.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

func (s *Snapshot) adaptersOf(model, version string) []string {
	var adapters []string
	for _, kind := range s.kinds {
		if kind.Model == model && kind.Version == version && kind.Adapter != "" && !slices.Contains(adapters, kind.Adapter) {
			adapters = append(adapters, kind.Adapter)
		}
	}
	slices.Sort(adapters)
	return adapters
}

// AdapterBytes returns the total size of the named adapters.
func (s *Snapshot) AdapterBytes(names []string) uint64 {
	var total uint64
	for _, name := range names {
		total += s.adapters[name].GetSizeBytes()
	}
	return total
}
