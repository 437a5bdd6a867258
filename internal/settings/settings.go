// Package settings reads a node's settings from a strict YAML file, from environment variables
// and from flags; later sources override earlier ones. An error names the line and key at
// fault; Check reports all errors that it finds, not only the first.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/tinarch/tinarch/internal/result"
)

// Settings are all settings of a node.
type Settings struct {
	Node      Node      `yaml:"node"`
	Listen    Listen    `yaml:"listen"`
	Cluster   Cluster   `yaml:"cluster"`
	Platform  Platform  `yaml:"platform"`
	Operators Operators `yaml:"operators"`
	TLS       TLS       `yaml:"tls"`
	Limits    Limits    `yaml:"limits"`
	Log       Log       `yaml:"log"`
}

// Node identifies the node.
type Node struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
}

// Listen holds the addresses of a node's ports, as host:port with an IP number.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Cluster tells which cluster the node belongs to.
type Cluster struct {
	ID string `yaml:"id"`
	// Seeds are peer addresses of some nodes through which this one joins. Nodes in the machine
	// list need not be named.
	Seeds []string `yaml:"seeds"`
	// LedgerGroups is the number of replica groups that store idempotency keys. It must be the
	// same on all nodes and must never change during the life of a cluster, since keys are
	// assigned to groups by it.
	LedgerGroups int `yaml:"ledger_groups"`
}

// Platform describes the services that the platform provides.
type Platform struct {
	Table    Table    `yaml:"table"`
	Objects  Objects  `yaml:"objects"`
	Machines Machines `yaml:"machines"`
	// WeightBytesPerSecond limits the rate at which the engines of one cell load model weights
	// from the weight store, where the platform keeps them. A cell is a replica group of nodes
	// whose leader places requests on its part of a pool's engines (package cell).
	WeightBytesPerSecond float64 `yaml:"weight_bytes_per_second"`
}

// Table is the transactional table service.
type Table struct {
	Endpoint          string  `yaml:"endpoint"`
	Region            string  `yaml:"region"`
	Name              string  `yaml:"name"`
	AccessKey         string  `yaml:"access_key"`
	SecretKey         string  `yaml:"secret_key"`
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// Objects is the object store.
type Objects struct {
	Endpoint          string  `yaml:"endpoint"`
	Region            string  `yaml:"region"`
	Bucket            string  `yaml:"bucket"`
	AccessKey         string  `yaml:"access_key"`
	SecretKey         string  `yaml:"secret_key"`
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// Machines is the machine list.
type Machines struct {
	URL string `yaml:"url"`
	// RefreshMillis is the interval between two reads of the list.
	RefreshMillis int `yaml:"refresh_ms"`
}

// Operators lists who may use the operators' API.
type Operators struct {
	Tokens []Token `yaml:"tokens"`
}

// Token is an operator's token, stored as the SHA-256 digest of its text.
type Token struct {
	Name   string `yaml:"name"`
	SHA256 string `yaml:"sha256"`
	Role   Role   `yaml:"role"`
}

// Role tells what a token allows.
type Role string

// The roles.
const (
	RoleRead  Role = "read"
	RoleWrite Role = "write"
)

// TLS holds the certificates of the ports; a port without one uses plain TCP.
type TLS struct {
	Callers   Certificate `yaml:"callers"`
	Operators Certificate `yaml:"operators"`
	// Peers is for mutual TLS: its CA signs the certificates of all nodes.
	Peers Certificate `yaml:"peers"`
}

// Certificate names files in PEM form.
type Certificate struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	CA          string `yaml:"ca"`
}

// IsSet reports whether a certificate is given.
func (c Certificate) IsSet() bool { return c.Certificate != "" || c.Key != "" || c.CA != "" }

// Limits bounds what callers may use, and how long a planned stop may take.
type Limits struct {
	MaxBodyBytes      int64 `yaml:"max_body_bytes"`
	ReadTimeoutMillis int   `yaml:"read_timeout_ms"`
	// WriteTimeoutMillis is how long a caller may take to read what is written to it.
	WriteTimeoutMillis int   `yaml:"write_timeout_ms"`
	MaxActive          int64 `yaml:"max_active"`
	// MemoryMegabytes is the memory of the node's machine, zero if it is not bounded.
	MemoryMegabytes int `yaml:"memory_mb,omitempty"`
	// ClientMemoryMegabytes bounds the memory that all callers together make the node hold.
	ClientMemoryMegabytes int `yaml:"client_memory_mb"`
	// ClientConnections bounds the connections of callers, zero for three fifths of the descriptors.
	ClientConnections int `yaml:"client_connections,omitempty"`
	// StopTimeoutMillis bounds a planned stop.
	StopTimeoutMillis int `yaml:"stop_timeout_ms"`
}

// Log tells from which level and in which format the log is written.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Listen:   Listen{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "127.0.0.1:8082"},
		Cluster:  Cluster{ID: "tinarch", LedgerGroups: 4},
		Platform: Platform{Machines: Machines{RefreshMillis: 1000}},
		Limits: Limits{
			MaxBodyBytes: 8 << 20, ReadTimeoutMillis: 30_000, WriteTimeoutMillis: 30_000,
			MaxActive: 20_000, ClientMemoryMegabytes: 1024, StopTimeoutMillis: 15 * 60 * 1000,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// Load reads a settings file; values that it leaves out keep their defaults. It does not check
// the settings, since flags may still override them.
func Load(path string) (Settings, *Source, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, result.New(result.SettingsInvalid, "the settings file can't be read: %v", err)
	}
	settings, source, err := Parse(path, content)
	return settings, source, err
}

// Parse parses the content of a settings file; path is used in error messages only.
func Parse(path string, content []byte) (Settings, *Source, error) {
	settings := Default()
	source := &Source{path: path}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(&settings); err != nil && len(bytes.TrimSpace(content)) > 0 {
		return Settings{}, nil, result.New(result.SettingsInvalid, "%s: %s", path, describe(err))
	}
	if file, err := parser.ParseBytes(content, 0); err == nil {
		source.file = file
	}
	return settings, source, nil
}

// describe formats a decoder's error on one line; the decoder's own text spans several.
func describe(err error) string {
	var detailed yaml.Error
	if errors.As(err, &detailed) {
		at := detailed.GetToken()
		return fmt.Sprintf("line %d, column %d: %s: %s", at.Position.Line, at.Position.Column, keyAndValue(at), detailed.GetMessage())
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	return first
}

// keyAndValue returns the text around an error, for instance "port: many".
func keyAndValue(at *token.Token) string {
	if at.Prev != nil && at.Prev.Type == token.MappingValueType && at.Prev.Prev != nil {
		return at.Prev.Prev.Value + ": " + at.Value
	}
	return at.Value
}

// Source is the parsed settings file, from which error messages take line numbers.
type Source struct {
	path string
	file *ast.File
}

// line returns the line of a key, or zero if it is not in the file.
func (s *Source) line(key string) int {
	if s == nil || s.file == nil {
		return 0
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(s.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// mistake formats an error with its key and, if the key is in the file, its line.
func (s *Source) mistake(key, format string, arguments ...any) string {
	message := fmt.Sprintf(format, arguments...)
	if line := s.line(key); line > 0 {
		return fmt.Sprintf("%s: line %d: %s: %s", s.path, line, key, message)
	}
	return fmt.Sprintf("%s: %s", key, message)
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	maxLedgerGroups      = 4096
	leastMemoryMegabytes = 32
	leastClientMegabytes = 8
)

// Check returns all errors in the settings as one error, or nil.
func (s Settings) Check(source *Source) error {
	c := checker{source: source}
	c.match("node.name", s.Node.Name, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
	c.match("node.zone", s.Node.Zone, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
	c.match("cluster.id", s.Cluster.ID, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	for i, seed := range s.Cluster.Seeds {
		c.address(fmt.Sprintf("cluster.seeds[%d]", i), seed)
	}
	c.between("cluster.ledger_groups", s.Cluster.LedgerGroups, 1, maxLedgerGroups)
	c.url("platform.table.endpoint", s.Platform.Table.Endpoint)
	c.required("platform.table.name", s.Platform.Table.Name)
	c.url("platform.objects.endpoint", s.Platform.Objects.Endpoint)
	c.required("platform.objects.bucket", s.Platform.Objects.Bucket)
	c.url("platform.machines.url", s.Platform.Machines.URL)
	c.between("platform.machines.refresh_ms", s.Platform.Machines.RefreshMillis, 50, 60_000)
	for i, token := range s.Operators.Tokens {
		c.token(fmt.Sprintf("operators.tokens[%d]", i), token)
	}
	c.certificate("tls.callers", s.TLS.Callers, false)
	c.certificate("tls.operators", s.TLS.Operators, false)
	c.certificate("tls.peers", s.TLS.Peers, true)
	c.between("limits.max_body_bytes", int(s.Limits.MaxBodyBytes), 1024, 1<<30)
	c.between("limits.read_timeout_ms", s.Limits.ReadTimeoutMillis, 100, 3_600_000)
	c.between("limits.write_timeout_ms", s.Limits.WriteTimeoutMillis, 100, 3_600_000)
	c.between("limits.max_active", int(s.Limits.MaxActive), 1, 1_000_000)
	s.Limits.checkMemory(&c)
	c.between("limits.client_connections", s.Limits.ClientConnections, 0, 1<<20)
	c.between("limits.stop_timeout_ms", s.Limits.StopTimeoutMillis, 1000, 24*3_600_000)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	return c.err()
}

// checkMemory checks that callers leave half of the machine's memory to all else.
func (l Limits) checkMemory(c *checker) {
	c.between("limits.client_memory_mb", l.ClientMemoryMegabytes, leastClientMegabytes, 1<<20)
	if l.MemoryMegabytes == 0 {
		return
	}
	c.between("limits.memory_mb", l.MemoryMegabytes, leastMemoryMegabytes, 1<<20)
	if most := l.MemoryMegabytes / 2; l.ClientMemoryMegabytes > most {
		c.add("limits.client_memory_mb", "%d is more than half of limits.memory_mb; use %d or less", l.ClientMemoryMegabytes, most)
	}
}

type checker struct {
	source   *Source
	mistakes []string
}

func (c *checker) add(key, format string, arguments ...any) {
	c.mistakes = append(c.mistakes, c.source.mistake(key, format, arguments...))
}

func (c *checker) err() error {
	if len(c.mistakes) == 0 {
		return nil
	}
	return result.New(result.SettingsInvalid, "%s", strings.Join(c.mistakes, "\n"))
}

func (c *checker) match(key, value string, pattern *regexp.Regexp, rule string) {
	if !pattern.MatchString(value) {
		c.add(key, "%q is not allowed; %s", value, rule)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "it is missing; set it")
	}
}

func (c *checker) address(key, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.add(key, "%q is not an address; use an IP number and a port, for instance 10.0.0.5:8080", value)
	}
}

func (c *checker) ip(key, value string) {
	if net.ParseIP(value) == nil {
		c.add(key, "%q is not an IP address; use a number, for instance 10.0.0.5", value)
	}
}

func (c *checker) url(key, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		c.add(key, "%q is not a URL; begin it with http:// or https://", value)
	}
}

func (c *checker) between(key string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.add(key, "%d is out of range; use %d to %d", value, lowest, highest)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	c.add(key, "%q is not allowed; use one of %s", value, strings.Join(allowed, ", "))
}

func (c *checker) token(key string, token Token) {
	c.required(key+".name", token.Name)
	c.match(key+".sha256", token.SHA256, digestPattern, "use the output of `tinarch key`")
	c.oneOf(key+".role", string(token.Role), string(RoleRead), string(RoleWrite))
}

func (c *checker) certificate(key string, certificate Certificate, mutual bool) {
	if !certificate.IsSet() {
		return
	}
	c.required(key+".certificate", certificate.Certificate)
	c.required(key+".key", certificate.Key)
	if mutual {
		c.required(key+".ca", certificate.CA)
	}
}

// Milliseconds converts a setting in milliseconds.
func Milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }
