// Package machines is the client for the platform's machine list, which uses the Prometheus
// HTTP service discovery format (https://prometheus.io/docs/prometheus/latest/http_sd/). The
// list is updated with a delay.
package machines

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/platform/httpclient"
	"github.com/tinarch/tinarch/internal/result"
)

// Kind is the kind of a machine: engine, node or worker.
type Kind string

// The kinds.
const (
	KindEngine Kind = "engine"
	KindNode   Kind = "node"
	// KindWorker is a worker of a service behind routes. Its pool is the service.
	KindWorker Kind = "worker"
)

// Labels of a target group.
const (
	labelKind  = "kind"
	labelName  = "name"
	labelPool  = "pool"
	labelZone  = "zone"
	labelState = "state"

	stateLeaving = "leaving"
)

// Machine is a machine in the list.
type Machine struct {
	Kind    Kind
	Name    string
	Address string
	Pool    string
	Zone    string
	Leaving bool
}

// targetGroup is an element of the list as encoded.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

const (
	requestTimeout = 3 * time.Second
	maxListBytes   = 64 << 20
)

// Client reads the list.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the list at url.
func New(url string) *Client {
	return &Client{url: url, http: httpclient.New(requestTimeout)}
}

// List fetches the list.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "machine list %s", c.url)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, result.Wrap(err, result.TableUnavailable, "the machine list did not answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, result.New(result.TableUnavailable, "the machine list answered status %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, result.Wrap(err, result.TableUnavailable, "the machine list broke off")
	}
	return Parse(content)
}

// Parse decodes a list. An entry without name or address is an error for the whole list,
// because leaving it out would make its machine look removed.
func Parse(content []byte) ([]Machine, error) {
	var groups []targetGroup
	if err := json.Unmarshal(content, &groups); err != nil {
		return nil, result.Wrap(err, result.TableUnavailable, "the machine list can't be read")
	}
	var list []Machine
	for _, group := range groups {
		for _, target := range group.Targets {
			if _, _, err := net.SplitHostPort(target); err != nil || group.Labels[labelName] == "" {
				return nil, result.New(result.TableUnavailable, "the machine list has the target %q with name %q; both are needed", target, group.Labels[labelName])
			}
			list = append(list, Machine{
				Kind:    Kind(group.Labels[labelKind]),
				Name:    group.Labels[labelName],
				Address: target,
				Pool:    group.Labels[labelPool],
				Zone:    group.Labels[labelZone],
				Leaving: group.Labels[labelState] == stateLeaving,
			})
		}
	}
	return list, nil
}

// Render encodes a list in the format that Parse reads.
func Render(list []Machine) ([]byte, error) {
	groups := make([]targetGroup, 0, len(list))
	for _, machine := range list {
		state := "live"
		if machine.Leaving {
			state = stateLeaving
		}
		groups = append(groups, targetGroup{
			Targets: []string{machine.Address},
			Labels: map[string]string{
				labelKind:  string(machine.Kind),
				labelName:  machine.Name,
				labelPool:  machine.Pool,
				labelZone:  machine.Zone,
				labelState: state,
			},
		})
	}
	return json.Marshal(groups)
}
