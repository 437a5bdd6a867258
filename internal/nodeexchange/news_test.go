package nodeexchange

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

// TestConfigurationFitsADatagram checks that the news of a whole configuration fit in a
// datagram: larger ones cost a call to the store for each node of the zone.
func TestConfigurationFitsADatagram(t *testing.T) {
	var value strings.Builder
	for i := range 60 {
		fmt.Fprintf(&value, `{"Name":"r-%07x","Host":"ficu95.example","PathPrefix":"/p%x/","Kind":"streaming","TimeoutMs":3000,"Priority":1,"Service":"s","MaxAttempts":1}`, i*7919, i*104729)
	}
	news := tablefeed.News{Table: "op", After: 3, Version: 9, Rows: []tablefeed.Row{{Key: "config", Value: []byte(value.String()), Version: 9}}}
	packed, err := packNews(news)
	if err != nil || len(packed)*4/3 > maxNews {
		t.Fatalf("%d bytes, %v", len(packed), err)
	}
	got, err := unpackNews(packed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(news, got); diff != "" {
		t.Error(diff)
	}
}

func TestMalformedNews(t *testing.T) {
	var bomb bytes.Buffer
	writer := gzip.NewWriter(&bomb)
	_, _ = writer.Write(bytes.Repeat([]byte(" "), maxUnpackedNews+1))
	_ = writer.Close()
	for name, packed := range map[string][]byte{"empty": nil, "no gzip": []byte("{}"), "cut": bomb.Bytes()[:20], "too large": bomb.Bytes()} {
		if _, err := unpackNews(packed); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestNewsLimitBoundsTheBytesOfAHead checks that relaying one change doesn't occupy the link of
// a head for long, whatever the size of its zone.
func TestNewsLimitBoundsTheBytesOfAHead(t *testing.T) {
	for _, nodes := range []int{10, 75, 300, 985, 2000} {
		exchange := largeExchange(t)
		exchange.peers = supervisorSet(t, nodes)
		limit := exchange.newsLimit()
		if sent := limit * exchange.peers.largestZoneSize(); sent > maxHeadBytes || limit > maxNews {
			t.Errorf("%d nodes: the limit is %d bytes, so that a head sends %d", nodes, limit, sent)
		}
		if nodes <= 75 && limit != maxNews {
			t.Errorf("%d nodes: the limit is only %d bytes", nodes, limit)
		}
	}
}
