package httpheader

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerRetryAfter = "Retry-After"
	headerDate       = "Date"
	// maxPause bounds the pause that one answer can ask for.
	maxPause = time.Hour
)

// RetryAfterApplies reports whether Retry-After in an answer of a status asks the one that was
// answered to send nothing for a time (RFC 9110, section 15.6.4, and RFC 6585, section 4).
func RetryAfterApplies(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// RetryAfter returns the pause that the head of an answer asks for, the longest of several, zero
// where it asks for none, and a quote of what can't be read.
func RetryAfter(header http.Header) (pause time.Duration, malformed string) {
	for _, text := range header.Values(headerRetryAfter) {
		one, err := parsePause(strings.TrimSpace(text), header.Get(headerDate))
		if err != nil {
			malformed = strconv.Quote(headerRetryAfter + ": " + text)
		}
		pause = max(pause, one)
	}
	return pause, malformed
}

// parsePause reads a pause: a decimal number of seconds, or the date of its end (RFC 9110,
// section 10.2.3), which counts from the date of the answer, since clocks differ.
func parsePause(text, answered string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		end, endErr := http.ParseTime(text)
		begin, beginErr := http.ParseTime(answered)
		if endErr != nil || beginErr != nil {
			return 0, eris.New("neither a number of seconds nor a date after that of the answer")
		}
		seconds = end.Sub(begin).Seconds()
	}
	if !(seconds >= 0) || math.IsInf(seconds, 0) {
		return 0, eris.New("not a number of seconds from 0 on")
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), nil
}
