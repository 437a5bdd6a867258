package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// eventBytes is the length of an event: model engines answer with four, plain workers with one.
const eventBytes = len("id: 1\ndata: 0123456789abcdef.1\n\n")

var (
	routesOfEachKind = []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"}
	unframed         = []fleetworker.Framing{fleetworker.ByClose, fleetworker.HTTP10}
	framed           = []fleetworker.Framing{fleetworker.ByLength, fleetworker.ByChunks}
	partialSizes     = []int{0, 5, eventBytes, eventBytes + 5, 3*eventBytes + 5, 4*eventBytes - 1}
)

// TestBrokenOffAnswerIsNotFramedAsComplete: the end of an unframed answer's connection makes the node vouch for a part.
func TestBrokenOffAnswerIsNotFramedAsComplete(t *testing.T) {
	for _, path := range routesOfEachKind {
		for _, sent := range partialSizes {
			for _, framing := range unframed {
				t.Run(fmt.Sprintf("%s, %s, %d", path, framing, sent), func(t *testing.T) {
					t.Parallel()
					s := start(t)
					s.setDeliveries("", fleetworker.Delivery{Framing: framing, Sent: sent}, -1)
					got := s.ask(http.MethodPost, path, nil, "x")
					whole := fleetworker.Body(got.id, s.events(path), 0)
					if got.status == http.StatusOK && got.framedAsComplete() && got.body != whole {
						t.Errorf("%q is framed as complete, the whole answer is %q", got.body, whole)
					}
				})
			}
		}
	}
}

// TestAnswersOfEachFramingAndEnd: an answer is lost, run again, or told to its caller as more than is known of it.
func TestAnswersOfEachFramingAndEnd(t *testing.T) {
	for _, path := range routesOfEachKind {
		for _, framing := range append(framed, unframed...) {
			for _, closing := range []fleetworker.Closing{fleetworker.Orderly, fleetworker.Reset, fleetworker.Crash} {
				for _, sent := range append(partialSizes, 4*eventBytes) {
					t.Run(fmt.Sprintf("%s, %s, %s, %d", path, framing, closing, sent), func(t *testing.T) {
						t.Parallel()
						s := start(t)
						delivery := fleetworker.Delivery{Framing: framing, Sent: sent, Closing: closing}
						s.setDeliveries("", delivery, 1)
						s.checkDelivered(path, delivery, s.ask(http.MethodPost, path, nil, "x"))
					})
				}
			}
		}
	}
}

// checkDelivered checks what a caller was told of an answer whose first run was delivered in
// some way.
func (s *site) checkDelivered(path string, delivery fleetworker.Delivery, got answer) {
	s.t.Helper()
	whole := fleetworker.Body(got.id, s.events(path), 0)
	repeatable := strings.HasPrefix(path, "/board/") || strings.HasPrefix(path, "/check/")
	isStream := strings.HasPrefix(path, "/verdict/") || strings.HasPrefix(path, "/check/")
	isUnframed := delivery.Framing == fleetworker.ByClose || delivery.Framing == fleetworker.HTTP10
	isWhole := delivery.Sent >= len(whole)
	runs := len(s.runs(got.id))

	if got.status == http.StatusOK && !strings.HasPrefix(whole, got.body) {
		s.t.Errorf("%q isn't a part of %q", got.body, whole)
	}
	if got.framedAsComplete() && got.status == http.StatusOK && got.body != whole {
		s.t.Errorf("%q is framed as complete", got.body)
	}
	if runs > 1 && !repeatable || runs > 2 {
		s.t.Errorf("it ran %d times", runs)
	}
	insideEvent := isStream && min(delivery.Sent, len(whole))%eventBytes != 0
	mayBeWhole := isWhole || isUnframed && delivery.Closing == fleetworker.Orderly && !insideEvent
	if got.status == http.StatusOK && got.readErr == nil && !mayBeWhole && got.body != whole {
		s.t.Errorf("%q, which is known to have broken off, ended in order", got.body)
	}
	switch {
	case isWhole && delivery.Closing == fleetworker.Orderly:
		if got.status != http.StatusOK || got.readErr != nil || got.body != whole || runs != 1 {
			s.t.Errorf("a whole answer: status %d, %v, %d runs, %q", got.status, got.readErr, runs, got.body)
		}
		if got.framed == isUnframed {
			s.t.Errorf("a whole answer: framed %v", got.framed)
		}
	case repeatable && !mayBeWhole:
		if got.status != http.StatusOK || got.readErr != nil || got.body != whole || runs != 2 {
			s.t.Errorf("an answer that broke off and may be run again: status %d, %v, %d runs, %q", got.status, got.readErr, runs, got.body)
		}
	}
}

// TestFramedStreamThatEndsInsideAnEventIsBrokenOff: a worker's own end mark behind a part of an event is believed.
func TestFramedStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for _, path := range []string{"/verdict/1", "/check/1"} {
		for _, framing := range framed {
			for _, sent := range []int{5, eventBytes + 5, 4*eventBytes - 1} {
				t.Run(fmt.Sprintf("%s, %s, %d", path, framing, sent), func(t *testing.T) {
					t.Parallel()
					s := start(t)
					delivery := fleetworker.Delivery{Framing: framing, Sent: sent, EndMarked: true}
					s.setDeliveries("", delivery, 1)
					got := s.ask(http.MethodPost, path, nil, "x")
					s.checkDelivered(path, delivery, got)
					if got.status == http.StatusOK && got.readErr == nil && len(s.runs(got.id)) == 1 {
						t.Errorf("%q ended in order", got.body)
					}
				})
			}
		}
	}
}

// TestUnprovedEndOfAResumedStreamGetsNoMark: the caller was promised a mark by the first run, and the second run proves nothing.
func TestUnprovedEndOfAResumedStreamGetsNoMark(t *testing.T) {
	for _, sent := range []int{eventBytes, 3 * eventBytes} {
		s := start(t)
		s.setDeliveriesTo("write", fleetworker.DeliveriesInOrder(
			fleetworker.Delivery{Framing: fleetworker.ByChunks, Sent: eventBytes},
			fleetworker.Delivery{Framing: fleetworker.ByClose, Sent: sent},
		))
		got := s.ask(http.MethodPost, "/check/1", nil, "x")
		if got.framedAsComplete() || got.body != fleetworker.Body(got.id, 1+sent/eventBytes, 0) || len(s.runs(got.id)) != 2 {
			t.Errorf("%v after %d runs, %q", got.readErr, len(s.runs(got.id)), got.body)
		}
	}
}

// TestNodeThatEndsBreaksUnframedAnswersOff: the node's own end looks like the end of an answer that it passes on unframed.
func TestNodeThatEndsBreaksUnframedAnswersOff(t *testing.T) {
	s := start(t)
	s.setDeliveries("write", fleetworker.Delivery{Framing: fleetworker.ByClose, Sent: eventBytes, Closing: fleetworker.Silent}, -1)
	response, err := (&http.Transport{}).RoundTrip(s.request(http.MethodPost, "/verdict/1", "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadFull(response.Body, make([]byte, eventBytes)); err != nil {
		t.Fatal(err)
	}
	s.node.Close()
	if rest, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("the answer ended with %q as if it were complete", rest)
	}
}

// TestBrokenOffAnswerIsResetForHTTP10Callers: without chunks, only a reset tells a part of an answer from the whole.
func TestBrokenOffAnswerIsResetForHTTP10Callers(t *testing.T) {
	for _, delivery := range []fleetworker.Delivery{
		{Framing: fleetworker.ByChunks, Sent: eventBytes, Closing: fleetworker.Orderly},
		{Framing: fleetworker.ByClose, Sent: eventBytes + 5, Closing: fleetworker.Orderly},
		{Framing: fleetworker.ByChunks, Sent: 4 * eventBytes, Closing: fleetworker.Orderly},
	} {
		s := start(t)
		s.setDeliveries("write", delivery, -1)
		request := s.request(http.MethodPost, "/verdict/1", "x")
		connection, err := net.Dial("tcp4", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		head := "POST /verdict/1 HTTP/1.0\r\nHost: " + host + "\r\nContent-Length: 1\r\n"
		for name, values := range request.Header {
			head += name + ": " + values[0] + "\r\n"
		}
		if _, err := io.WriteString(connection, head+"\r\nx"); err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(connection)
		whole := strings.HasSuffix(string(content), fleetworker.Body(request.Header.Get("X-Request-Id"), 4, 0))
		if whole != (err == nil) {
			t.Errorf("%+v: %q, %v", delivery, content, err)
		}
	}
}

// TestAnswerToHeadKeepsItsLength: the length of the body that wasn't sent is told as zero.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	for framing, want := range map[fleetworker.Framing]int64{
		fleetworker.ByLength: int64(eventBytes), fleetworker.ByChunks: -1, fleetworker.ByClose: -1, fleetworker.HTTP10: -1,
	} {
		s := start(t)
		s.setDeliveries("portal", fleetworker.Delivery{Framing: framing, Sent: eventBytes}, -1)
		response, err := (&http.Transport{}).RoundTrip(s.request(http.MethodHead, "/board/1", ""))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || response.ContentLength != want {
			t.Errorf("%s: status %d, length %d, want %d", framing, response.StatusCode, response.ContentLength, want)
		}
	}
}

// events is the number of events in an answer of the workers of a route.
func (s *site) events(path string) int {
	if strings.HasPrefix(path, "/board/") || strings.HasPrefix(path, "/submit/") {
		return 1
	}
	return 4
}
