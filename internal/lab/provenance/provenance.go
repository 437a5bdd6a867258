// Package provenance describes the build and machine on which a result was measured.
package provenance

import (
	"os"
	"os/exec"
	"runtime"
	"strings"
)

// Provenance describes where a result comes from; it is stored with the result.
type Provenance struct {
	Commit    string `json:"commit"`
	Command   string `json:"command"`
	Go        string `json:"go"`
	Cores     int    `json:"cores"`
	Processor string `json:"processor"`
}

// Collect returns the provenance of results that this process measures.
func Collect() Provenance {
	arguments := append([]string{"tinarch-lab"}, os.Args[1:]...)
	return Provenance{
		Commit:    commit(),
		Command:   strings.Join(arguments, " "),
		Go:        runtime.Version(),
		Cores:     runtime.NumCPU(),
		Processor: processor(),
	}
}

// commit returns the checked-out commit, with "+changes" appended if tracked files differ from
// it.
func commit() string {
	head, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(head))
	changes, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output()
	if err == nil && len(changes) > 0 {
		name += "+changes"
	}
	return name
}

func processor() string {
	content, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return runtime.GOARCH
	}
	for _, line := range strings.Split(string(content), "\n") {
		if name, value, found := strings.Cut(line, ":"); found && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return runtime.GOARCH
}
