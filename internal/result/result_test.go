package result

import (
	"errors"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestErrorsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Markdown(), string(page)); diff != "" {
		t.Errorf("docs/ERRORS.md is stale, run go generate ./internal/result:\n%s", diff)
	}
}

func TestTableIsConsistent(t *testing.T) {
	names := map[string]bool{}
	last := Code(-1)
	for _, entry := range Table {
		if entry.Code <= last {
			t.Errorf("code %d is out of order", entry.Code)
		}
		last = entry.Code
		if names[entry.Name] {
			t.Errorf("name %s is used twice", entry.Name)
		}
		names[entry.Name] = true
		if entry.Outcome == Unknown && entry.HTTPStatus == 200 {
			t.Errorf("%s: an unknown outcome can't be a success", entry.Name)
		}
	}
}

func TestFromFindsWrappedCode(t *testing.T) {
	err := Wrap(errors.New("connection reset"), TableUnavailable, "reading head")
	if got := CodeOf(err); got != TableUnavailable {
		t.Errorf("CodeOf = %v, want %v", got, TableUnavailable)
	}
	if got := CodeOf(errors.New("plain")); got != Internal {
		t.Errorf("CodeOf(plain) = %v, want %v", got, Internal)
	}
	if got := CodeOf(nil); got != OK {
		t.Errorf("CodeOf(nil) = %v", got)
	}
}
