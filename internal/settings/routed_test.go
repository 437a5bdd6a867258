package settings

import (
	"strings"
	"testing"
)

const validRouted = `
node: {name: front-1, zone: a}
listen: {callers: "10.0.0.1:80", readiness: "10.0.0.1:81", exchange: "10.0.0.1:82", metrics: "10.0.0.1:83"}
store: {address: "10.0.0.9:90"}
`

func TestRoutedSettings(t *testing.T) {
	got, err := ParseRouted("file", []byte(validRouted))
	if err != nil {
		t.Fatal(err)
	}
	if got.Node.Name != "front-1" || got.Store.Address != "10.0.0.9:90" || got.Bounds.RetryRatio != 0.2 || got.Log.Level != "info" {
		t.Errorf("settings are %+v", got)
	}
}

func TestRoutedSettingsReportEveryError(t *testing.T) {
	_, err := ParseRouted("file", []byte(`node: {name: "Front 1"}
listen: {callers: "localhost:80"}
store: {address: nowhere}
limits: {memory_mb: 1}
bounds: {retry_ratio: -1, stop_ms: 5, lease_ms: 0}
log: {level: loud}
`))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, part := range []string{
		"line 1: node.name", "node.zone", "line 2: listen.callers", "listen.readiness", "listen.exchange", "listen.metrics",
		"line 3: store.address", "line 4: limits.memory_mb", "line 5: bounds.retry_ratio", "bounds.stop_ms", "bounds.lease_ms", "line 6: log.level", "[7001",
	} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is missing in the error:\n%v", part, err)
		}
	}
}

func TestRoutedSettingsRejectUnknownKeys(t *testing.T) {
	for _, text := range []string{validRouted + "odd: 1\n", "node: {nmae: x}\n", "node: [", "\x00"} {
		if _, err := ParseRouted("file", []byte(text)); err == nil || !strings.Contains(err.Error(), "file") {
			t.Errorf("%q: error %v, want one that names the file", text, err)
		}
	}
}

func TestRoutedSettingsOfRegionsAndQuotas(t *testing.T) {
	got, err := ParseRouted("file", []byte(validRouted+`
zones: {a: north, b: south}
quota: {window_s: 4, overshoot: 0.2, slack: 100}
bounds: {fencing: false}
`))
	if err != nil {
		t.Fatal(err)
	}
	if got.Zones["b"] != "south" || got.Quota != (RoutedQuota{WindowSeconds: 4, Overshoot: 0.2, Slack: 100}) || got.Bounds.Fencing {
		t.Errorf("settings are %+v", got)
	}
	if got, err := ParseRouted("file", []byte(validRouted+"zones:\n")); err != nil || len(got.Zones) != 0 || !got.Bounds.Fencing {
		t.Errorf("without zones: %+v, %v", got, err)
	}
	_, err = ParseRouted("file", []byte(validRouted+"zones: {a: North}\nquota: {window_s: 0, overshoot: -1}\n"))
	for _, part := range []string{"zones.a", "quota.window_s", "quota.overshoot"} {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%q is missing in the error: %v", part, err)
		}
	}
}

func TestOverloadScopes(t *testing.T) {
	got, err := ParseRouted("file", []byte(validRouted+"overload: {waiting: uneven, cold_start: always}\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := RoutedOverload{ColdStart: Always, SingleRead: Never, Waiting: Uneven, SpreadRetries: Never}
	if got.Overload != want {
		t.Errorf("overload is %+v, want %+v", got.Overload, want)
	}
	for scope, selects := range map[Scope][2]bool{Never: {false, false}, Uneven: {false, true}, Always: {true, true}} {
		if scope.Selects(false) != selects[0] || scope.Selects(true) != selects[1] {
			t.Errorf("%s selects even services: %v, uneven ones: %v", scope, scope.Selects(false), scope.Selects(true))
		}
	}
	_, err = ParseRouted("file", []byte(validRouted+"overload: {waiting: sometimes}\n"))
	if err == nil || !strings.Contains(err.Error(), "overload.waiting") {
		t.Errorf("an unknown scope was accepted: %v", err)
	}
}

func FuzzParseRouted(f *testing.F) {
	f.Add([]byte(validRouted))
	f.Fuzz(func(_ *testing.T, content []byte) { _, _ = ParseRouted("file", content) })
}

// TestLateHoldSetting: late.hold is false by default and can be set.
func TestLateHoldSetting(t *testing.T) {
	for text, want := range map[string]bool{validRouted: false, validRouted + "late: {hold: true}\n": true} {
		got, err := ParseRouted("file", []byte(text))
		if err != nil || got.Late.Hold != want {
			t.Errorf("late.hold is %v, error %v", got.Late.Hold, err)
		}
	}
}
