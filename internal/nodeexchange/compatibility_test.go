package nodeexchange

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// TestMessageOfThePreviousBuildIsRead decodes a message of the previous build that has a value
// in each field which that build knows, and checks that it is encoded in the same way again.
func TestMessageOfThePreviousBuildIsRead(t *testing.T) {
	recorded, err := os.ReadFile("testdata/previous-message.json")
	if err != nil {
		t.Fatal(err)
	}
	recorded = bytes.TrimSpace(recorded)
	message, err := decode(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := message.snapshot(); err != nil {
		t.Error(err)
	}
	rendered, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(rendered, recorded) {
		t.Errorf("a field is encoded differently than in the previous build: was\n%s\nis\n%s", recorded, rendered)
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	message, err := decode([]byte(`{"n":"x","s":4,"later":{"a":[1]},"v":{"i":2,"later":true}}`))
	if err != nil || message.Sequence != 4 || message.Reply == nil || message.Reply.ID != 2 {
		t.Errorf("%+v, %v", message, err)
	}
}
