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
	// maxPause is the longest pause that one answer can ask for.
	maxPause = time.Hour
)

// RetryAfterApplies reports whether Retry-After in an answer with this status asks the client
// to send nothing for a time (RFC 9110, section 15.6.4, and RFC 6585, section 4).
func RetryAfterApplies(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// RetryAfter returns the pause that the header of an answer asks for, zero if it asks for none.
// If it has several Retry-After fields, the longest pause counts. malformed quotes a field that
// can't be parsed.
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

// parsePause parses a pause: a decimal number of seconds or the date of its end (RFC 9110,
// section 10.2.3). A date is compared with the date of the answer, because the clocks of client
// and server may differ.
func parsePause(text, answered string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		end, endErr := http.ParseTime(text)
		begin, beginErr := http.ParseTime(answered)
		if endErr != nil || beginErr != nil {
			return 0, eris.New("neither a number of seconds nor a date that can be compared with the Date header")
		}
		seconds = end.Sub(begin).Seconds()
	}
	if !(seconds >= 0) || math.IsInf(seconds, 0) {
		return 0, eris.New("the number of seconds is negative or not finite")
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), nil
}
