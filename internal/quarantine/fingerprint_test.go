package quarantine

import (
	"bytes"
	"testing"
)

var sample = Content{Method: "POST", Host: "h", Target: "/a/b?c", Tenant: "t", Body: []byte("body")}

// TestFingerprintDiffersWithContent, even where the concatenated fields are equal.
func TestFingerprintDiffersWithContent(t *testing.T) {
	same := sample
	same.Body = bytes.Clone(sample.Body)
	if same.Fingerprint() != sample.Fingerprint() {
		t.Error("the same content has two fingerprints")
	}
	for name, change := range map[string]func(c *Content){
		"method":               func(c *Content) { c.Method = "PUT" },
		"host":                 func(c *Content) { c.Host = "i" },
		"target":               func(c *Content) { c.Target = "/a/b?d" },
		"tenant":               func(c *Content) { c.Tenant = "" },
		"body":                 func(c *Content) { c.Body = []byte("bodz") },
		"target moved to host": func(c *Content) { c.Host, c.Target = "h/a", "/b?c" },
		"tenant moved to body": func(c *Content) { c.Tenant, c.Body = "", []byte("tbody") },
	} {
		other := sample
		change(&other)
		if other.Fingerprint() == sample.Fingerprint() {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	read, err := ParseFingerprint(sample.Fingerprint().String())
	if err != nil || read != sample.Fingerprint() {
		t.Errorf("%v, %v", read, err)
	}
	part := PartFingerprint(0x5c1e07a2)
	if read, err := ParseFingerprint(part.String()); err != nil || read != part || !read.IsPart() {
		t.Errorf("%s is read as %v, %v", part, read, err)
	}
	for _, text := range []string{"", "00", "zz", sample.Fingerprint().String() + "00", "part-", "part-" + sample.Fingerprint().String()} {
		if _, err := ParseFingerprint(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// BenchmarkFingerprint measures the cost of each request at its node, with the mean body size
// of the longest prompts (17 kB).
func BenchmarkFingerprint(b *testing.B) {
	content := sample
	content.Body = make([]byte, 17_000)
	b.SetBytes(int64(len(content.Body)))
	for b.Loop() {
		_ = content.Fingerprint()
	}
}
