package site

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// nested returns an array that is nested that deeply.
func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// oddEntry returns an entry of a plain worker with a field replaced, or added.
func oddEntry(field, value string) string {
	fields := map[string]string{
		"Service": `"portal"`, "Address": `"127.0.0.1:1"`, "Zone": `"a"`, "Version": `"v1"`, "Slots": "8", "State": `"ready"`,
		"ColdRemainingMs": "0", "Seq": "1", field: value,
	}
	var members []string
	for name, encoded := range fields {
		members = append(members, fmt.Sprintf("%q:%s", name, encoded))
	}
	return "{" + strings.Join(members, ",") + "}"
}

// oddEntries are entries that name no worker to use.
var oddEntries = map[string]string{
	"array nested 100 times":            nested(100),
	"array nested 9998 times":           nested(9_998),
	"array nested 100000 times":         nested(100_000),
	"field nested 20000 times":          oddEntry("Extra", nested(20_000)),
	"field nested 20000 times, no end":  oddEntry("Extra", strings.Repeat("[", 20_000)),
	"objects nested 100000 times":       strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000),
	"service nested 9000 times":         oddEntry("Service", nested(9_000)),
	"slots 1e400":                       oddEntry("Slots", "1e400"),
	"slots of 400 digits":               oddEntry("Slots", strings.Repeat("9", 400)),
	"slots 2^64":                        oddEntry("Slots", "18446744073709551616"),
	"slots 2^63-1":                      oddEntry("Slots", "9223372036854775807"),
	"slots -1":                          oddEntry("Slots", "-1"),
	"slots a fraction":                  oddEntry("Slots", "1.5"),
	"born 1e30":                         oddEntry("born", "1e30"),
	"born a fraction":                   oddEntry("born", "1764731647000.5"),
	"port 0":                            oddEntry("Address", `"127.0.0.1:0"`),
	"port -1":                           oddEntry("Address", `"127.0.0.1:-1"`),
	"port 65536":                        oddEntry("Address", `"127.0.0.1:65536"`),
	"port 99999999999999999999":         oddEntry("Address", `"127.0.0.1:99999999999999999999"`),
	"no port":                           oddEntry("Address", `"127.0.0.1"`),
	"a name for an address":             oddEntry("Address", `"worker.invalid:80"`),
	"address a number":                  oddEntry("Address", "1e999"),
	"service missing":                   oddEntry("Service", "null"),
	"another state":                     oddEntry("State", `"gone"`),
	"another stage":                     oddEntry("Stage", `"both"`),
	"null":                              "null",
	"a text":                            `"entry"`,
	"a number":                          "1e400",
	"no value":                          "",
	"bytes that are no text":            "\xff\xfe\x00{",
	"an entry and more behind it":       oddEntry("Slots", "8") + "}",
	"an entry that ends in the middle":  oddEntry("Slots", "8")[:40],
	"a byte that JSON escapes in a key": "{\"Serv\x01ice\": 1}",
}

// TestOddEntryCostsItselfAlone guards against nodes that end, or stop following the list, at an entry of another
// writer: nodes that hear of it, and one that starts later.
func TestOddEntryCostsItselfAlone(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.addNodes("node-2")
	s.awaitPeers()
	for number, name := range slices.Sorted(maps.Keys(oddEntries)) {
		entry := oddEntries[name]
		odd, added := fmt.Sprint("odd-", number), fmt.Sprint("portal-added-", number)
		s.store.PutBytes("servers", odd, []byte(entry))
		s.addWorker(fleetworker.Options{ID: added, Service: portal, Events: 1})
		for _, node := range append(s.others, &otherNode{node: s.node}) {
			s.await("a worker behind the entry with "+name+" is known, and none of that", func() bool { return node.node.Workers() == len(s.workers) })
		}
		s.await("the entry is logged", func() bool {
			return strings.Count(s.logLinesWith("row="+odd+" "), "can't be parsed") >= 2
		})
	}
	node, address := s.startNode("node-3", func(*settings.Routed) {})
	s.await("a node that starts beside them is ready", node.Ready)
	s.await("it knows all workers", func() bool { return node.Workers() == len(s.workers) })
	for _, address := range []string{s.address, s.others[0].address, address} {
		for range 5 {
			if got := s.askAt(address, http.MethodPost, "/once/1", nil, "x"); got.status != http.StatusOK {
				t.Errorf("%d %s", got.status, got.body)
			}
		}
	}
}
