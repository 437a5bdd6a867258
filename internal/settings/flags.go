package settings

import (
	"github.com/tinarch/tinarch/internal/result"
)

// Flags are the command-line flags of a node. Most of them also have an environment variable. A
// flag overrides the value in the settings file.
type Flags struct {
	Config          string   `arg:"--config,env:TINARCH_CONFIG" help:"settings file (YAML)" placeholder:"FILE"`
	NodeName        string   `arg:"--node-name,env:TINARCH_NODE_NAME" help:"overrides node.name"`
	Zone            string   `arg:"--zone,env:TINARCH_ZONE" help:"overrides node.zone"`
	ListenCallers   string   `arg:"--listen-callers,env:TINARCH_LISTEN_CALLERS" help:"overrides listen.callers" placeholder:"ADDRESS"`
	ListenOperators string   `arg:"--listen-operators,env:TINARCH_LISTEN_OPERATORS" help:"overrides listen.operators" placeholder:"ADDRESS"`
	ListenPeers     string   `arg:"--listen-peers,env:TINARCH_LISTEN_PEERS" help:"overrides listen.peers" placeholder:"ADDRESS"`
	Seeds           []string `arg:"--seed,separate" help:"overrides cluster.seeds; may be repeated" placeholder:"ADDRESS"`
	LogLevel        string   `arg:"--log-level,env:TINARCH_LOG_LEVEL" help:"overrides log.level: debug, info, warn or error"`
	LogFormat       string   `arg:"--log-format,env:TINARCH_LOG_FORMAT" help:"overrides log.format: json or text"`
	Routed          bool     `arg:"--routed" help:"run as a routed node, which serves routes in front of a platform's workers; its settings file has a form of its own"`
	CheckOnly       bool     `arg:"--check" help:"check the settings and exit"`
}

// Description is printed by --help.
func (Flags) Description() string {
	return "tinarchd is a node of tinarch: it serves callers, operators and the other nodes."
}

// Version is printed by --version.
func (Flags) Version() string { return "tinarchd " + Version }

// Version is the version of all programs.
const Version = "0.1.0"

// Resolve reads the settings file that the flags name, applies the other flags, and checks the
// resulting settings.
func (f Flags) Resolve() (Settings, error) {
	if f.Config == "" {
		return Settings{}, result.New(result.SettingsInvalid, "no settings file is named; use --config FILE or TINARCH_CONFIG")
	}
	settings, source, err := Load(f.Config)
	if err != nil {
		return Settings{}, err
	}
	override(&settings.Node.Name, f.NodeName)
	override(&settings.Node.Zone, f.Zone)
	override(&settings.Listen.Callers, f.ListenCallers)
	override(&settings.Listen.Operators, f.ListenOperators)
	override(&settings.Listen.Peers, f.ListenPeers)
	override(&settings.Log.Level, f.LogLevel)
	override(&settings.Log.Format, f.LogFormat)
	if len(f.Seeds) > 0 {
		settings.Cluster.Seeds = f.Seeds
	}
	return settings, settings.Check(source)
}

func override(target *string, value string) {
	if value != "" {
		*target = value
	}
}
