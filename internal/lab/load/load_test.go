package load

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func readExample(t *testing.T, path string) Workload {
	t.Helper()
	workload, err := ReadWorkload(path)
	if err != nil {
		t.Fatal(err)
	}
	return workload
}

func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	workload := readExample(t, "../../../examples/verifica-norte/workload.yaml")
	if diff := cmp.Diff(workload.Schedule(), workload.Schedule()); diff != "" {
		t.Errorf("two schedules of one seed differ:\n%s", diff)
	}
	other := workload
	other.Seed++
	if cmp.Equal(workload.Schedule(), other.Schedule()) {
		t.Error("two seeds have the same schedule")
	}
}

func TestRatesAreMet(t *testing.T) {
	workload := readExample(t, "../../../examples/hnefi/workload.yaml").Scaled(2, 600)
	counts := make([]int, len(workload.Streams))
	for _, arrival := range workload.Schedule() {
		counts[arrival.Stream]++
	}
	for i, stream := range workload.Streams {
		expected := 0.0
		for second := range 600 {
			expected += stream.rateAt(float64(second) + 0.5)
		}
		if float64(counts[i]) < 0.9*expected || float64(counts[i]) > 1.1*expected {
			t.Errorf("%s: %d arrivals, %.0f expected", stream.Name, counts[i], expected)
		}
	}
}

func TestPromptsAreUnique(t *testing.T) {
	workload := readExample(t, "../../../examples/verifica-norte/workload.yaml").Scaled(0.3, 5)
	texts := NewTexts(workload)
	seen := map[string]bool{}
	for _, arrival := range workload.Schedule() {
		prompt := texts.Prompt(arrival)
		if seen[prompt] {
			t.Fatalf("the prompt of %+v is the same as an earlier one", arrival)
		}
		seen[prompt] = true
	}
}

func TestMistakesInAWorkloadAreNamed(t *testing.T) {
	workload := readExample(t, "../../../examples/hnefi/workload.yaml")
	workload.Streams[0].Corpus = "none"
	workload.Streams[1].Keys = nil
	workload.Seconds = 0
	err := workload.validate("w.yaml")
	if err == nil {
		t.Fatal("a workload with three errors was accepted")
	}
}
