package cluster

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// Deployment is the content of a lab deployment file.
type Deployment struct {
	Name            string           `yaml:"name"`
	Zones           []string         `yaml:"zones"`
	Nodes           int              `yaml:"nodes"`
	Pools           []DeploymentPool `yaml:"pools"`
	TimeScale       float64          `yaml:"time_scale"`
	ReportLagMillis int              `yaml:"report_lag_ms"`
	ListLagMillis   int              `yaml:"list_lag_ms"`
	// Catalog and Workload are the names of files, relative to this file's directory.
	Catalog  string `yaml:"catalog"`
	Workload string `yaml:"workload"`

	directory string
}

// DeploymentPool is a set of engines with the same model of performance.
type DeploymentPool struct {
	Name  string `yaml:"name"`
	Count int    `yaml:"count"`
	// Model is "large" or "small".
	Model string `yaml:"model"`
}

// ReadDeployment reads and validates a deployment file.
func ReadDeployment(path string) (Deployment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Deployment{}, result.New(result.SettingsInvalid, "the deployment can't be read: %v", err)
	}
	deployment := Deployment{Nodes: 3, TimeScale: 1, directory: filepath.Dir(path)}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&deployment); err != nil {
		return Deployment{}, result.New(result.SettingsInvalid, "%s: %v", path, err)
	}
	if deployment.Name == "" || len(deployment.Zones) == 0 || len(deployment.Pools) == 0 {
		return Deployment{}, result.New(result.SettingsInvalid, "%s: name, zones and pools are needed", path)
	}
	for _, pool := range deployment.Pools {
		if _, known := models[pool.Model]; !known || pool.Count < 1 {
			return Deployment{}, result.New(result.SettingsInvalid, "%s: pool %s needs a count and the model large or small", path, pool.Name)
		}
	}
	return deployment, nil
}

var models = map[string]func() labengine.Model{"large": labengine.LargeModel, "small": labengine.SmallModel}

// CatalogPath returns the path of the catalog file.
func (d Deployment) CatalogPath() string { return filepath.Join(d.directory, d.Catalog) }

// WorkloadPath returns the path of the workload file.
func (d Deployment) WorkloadPath() string { return filepath.Join(d.directory, d.Workload) }

// EngineCount returns the number of engines.
func (d Deployment) EngineCount() int {
	total := 0
	for _, pool := range d.Pools {
		total += pool.Count
	}
	return total
}

// Options returns the options with which Start runs the deployment.
func (d Deployment) Options() Options {
	options := Options{
		Name: d.Name, Zones: d.Zones, Nodes: d.Nodes, TimeScale: d.TimeScale,
		ReportLag: time.Duration(d.ReportLagMillis) * time.Millisecond,
		ListLag:   time.Duration(d.ListLagMillis) * time.Millisecond,
	}
	for _, pool := range d.Pools {
		options.Pools = append(options.Pools, Pool{Name: pool.Name, Count: pool.Count, Model: models[pool.Model]()})
	}
	return options
}
