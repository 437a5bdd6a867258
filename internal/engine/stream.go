package engine

import (
	"bytes"
	"strconv"

	"github.com/tinarch/tinarch/internal/result"
)

// Streams are server-sent events (WHATWG HTML, section 9.2). An engine numbers the events with
// "id: <attempt>/<number>", starting at one, and ends the stream with the comment ": end
// tokens=<count> prompt=<count> cached=<count>". A stream without that end mark is incomplete.
const (
	eventIDPrefix = "id: "
	endMarkPrefix = ": end tokens="
	endMarkPrompt = " prompt="
	endMarkCached = " cached="
)

// AppendEvent appends an event with its number to buffer.
func AppendEvent(buffer []byte, attempt Identifier, number int, data []byte) []byte {
	buffer = append(buffer, eventIDPrefix...)
	buffer = append(buffer, attempt...)
	buffer = append(buffer, '/')
	buffer = strconv.AppendInt(buffer, int64(number), 10)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

// Usage is the token counts of a complete answer.
type Usage struct {
	OutputTokens int `json:"output_tokens"`
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is how many of the prompt's tokens were in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// AppendEnd appends the end mark of a stream, and the event that ends it for OpenAI clients.
func AppendEnd(buffer []byte, usage Usage) []byte {
	buffer = append(buffer, endMarkPrefix...)
	buffer = strconv.AppendInt(buffer, int64(usage.OutputTokens), 10)
	buffer = append(buffer, endMarkPrompt...)
	buffer = strconv.AppendInt(buffer, int64(usage.PromptTokens), 10)
	buffer = append(buffer, endMarkCached...)
	buffer = strconv.AppendInt(buffer, int64(usage.CachedTokens), 10)
	return append(buffer, "\n\ndata: [DONE]\n\n"...)
}

// EventDisposition says how to handle an event.
type EventDisposition int

// The dispositions.
const (
	// EventAccepted is the event expected next.
	EventAccepted EventDisposition = iota
	// EventRepeated was received before and is dropped.
	EventRepeated
	// EventForeign belongs to another attempt and is dropped.
	EventForeign
	// EventGap means that events are missing: the event's number is higher than expected, or
	// the end mark counts more or fewer tokens than events were received. The caller has to
	// resume the stream from StreamReader.Next.
	EventGap
	// EventEnd is the end mark.
	EventEnd
	// EventOther has no number, for instance a comment.
	EventOther
)

// StreamReader checks that the events of one attempt arrive completely and in order. It does
// not hold the connection, so the same StreamReader is used after a resume.
type StreamReader struct {
	attempt  string
	next     int
	complete bool
	usage    Usage
}

// NewStreamReader returns a reader of an attempt's events. The next event that it expects has
// the number given by first.
func NewStreamReader(attempt Identifier, first int) *StreamReader {
	return &StreamReader{attempt: string(attempt), next: first}
}

// Next returns the number of the event expected next.
func (r *StreamReader) Next() int { return r.next }

// Complete reports whether the end mark was received and its token count matched.
func (r *StreamReader) Complete() bool { return r.complete }

// Usage returns the token counts of the end mark. They are valid once Complete returns true.
func (r *StreamReader) Usage() Usage { return r.usage }

var (
	eventIDBytes = []byte(eventIDPrefix)
	endMarkBytes = []byte(endMarkPrefix)
)

// Classify returns how to handle an event, which is given without the blank line that ends it.
func (r *StreamReader) Classify(event []byte) (EventDisposition, error) {
	if bytes.HasPrefix(event, eventIDBytes) {
		return r.classifyNumbered(event[len(eventIDBytes):])
	}
	if bytes.HasPrefix(event, endMarkBytes) {
		return r.classifyEnd(event[len(endMarkBytes):])
	}
	return EventOther, nil
}

func (r *StreamReader) classifyNumbered(rest []byte) (EventDisposition, error) {
	slash := bytes.IndexByte(rest, '/')
	newline := bytes.IndexByte(rest, '\n')
	if slash < 0 || newline < slash {
		return EventOther, result.New(result.Internal, "the engine sent an event id without a number")
	}
	if string(rest[:slash]) != r.attempt {
		return EventForeign, nil
	}
	number, ok := parseCount(rest[slash+1 : newline])
	if !ok {
		return EventOther, result.New(result.Internal, "the engine sent the event number %q", rest[slash+1:newline])
	}
	switch {
	case number < r.next:
		return EventRepeated, nil
	case number > r.next:
		return EventGap, nil
	}
	r.next++
	return EventAccepted, nil
}

func (r *StreamReader) classifyEnd(rest []byte) (EventDisposition, error) {
	usage, ok := parseEnd(bytes.TrimRight(rest, "\r\n"))
	if !ok {
		return EventOther, result.New(result.Internal, "the engine sent the end mark %q", rest)
	}
	if usage.OutputTokens != r.next-1 {
		return EventGap, nil
	}
	r.usage = usage
	r.complete = true
	return EventEnd, nil
}

func parseEnd(counts []byte) (usage Usage, ok bool) {
	tokens, rest, _ := bytes.Cut(counts, []byte(endMarkPrompt))
	prompt, cached, _ := bytes.Cut(rest, []byte(endMarkCached))
	for _, field := range []struct {
		digits []byte
		target *int
	}{{tokens, &usage.OutputTokens}, {prompt, &usage.PromptTokens}, {cached, &usage.CachedTokens}} {
		value, valid := parseCount(field.digits)
		if !valid {
			return Usage{}, false
		}
		*field.target = value
	}
	return usage, true
}

func parseCount(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > 9 {
		return 0, false
	}
	value := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		value = value*10 + int(digit-'0')
	}
	return value, true
}

// EventData returns the content of an event's data line, nil if it has none.
func EventData(event []byte) []byte {
	_, data, found := bytes.Cut(event, []byte("data: "))
	if !found {
		return nil
	}
	return bytes.TrimRight(data, "\r\n")
}

// CompletionID returns the identifier of an answer that its caller sees.
func CompletionID(attempt Identifier) string { return "cmpl-" + string(attempt) }
