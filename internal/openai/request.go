// Package openai implements the part of the OpenAI HTTP API that tinarch supports: text and
// chat completions, streamed or not (https://platform.openai.com/docs/api-reference).
package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/tinarch/tinarch/internal/result"
)

// Endpoint is the URL path of an API method.
type Endpoint string

// The endpoints.
const (
	Completions     Endpoint = "/v1/completions"
	ChatCompletions Endpoint = "/v1/chat/completions"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
	Name    string  `json:"name,omitempty"`
}

// Content is the text of a message. In JSON it is a string or a list of text parts.
type Content string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return errors.New("content is neither a string nor a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("content has a part of a type other than text")
		}
		joined.WriteString(part.Text)
	}
	*c = Content(joined.String())
	return nil
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// IncludeObfuscation is accepted and has no effect.
	IncludeObfuscation *bool `json:"include_obfuscation,omitempty"`
}

// Request is a completion request. The sampling parameters are passed to the engine unchanged.
type Request struct {
	Model               string          `json:"model"`
	Prompt              *string         `json:"prompt,omitempty"`
	Messages            []Message       `json:"messages,omitempty"`
	MaxTokens           int             `json:"max_tokens,omitempty"`
	MaxCompletionTokens int             `json:"max_completion_tokens,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *StreamOptions  `json:"stream_options,omitempty"`
	Temperature         *float64        `json:"temperature,omitempty"`
	TopP                *float64        `json:"top_p,omitempty"`
	Seed                *int64          `json:"seed,omitempty"`
	Stop                json.RawMessage `json:"stop,omitempty"`
	PresencePenalty     *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty    *float64        `json:"frequency_penalty,omitempty"`
	N                   *int            `json:"n,omitempty"`
	User                string          `json:"user,omitempty"`
	Metadata            json.RawMessage `json:"metadata,omitempty"`
}

// Parse decodes and validates a request body.
func Parse(endpoint Endpoint, body []byte) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, result.New(result.InvalidRequest, "the body is not valid UTF-8; encode it as UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	request := &Request{}
	if err := decoder.Decode(request); err != nil {
		return nil, result.New(result.InvalidRequest, "the body can't be read: %s", describe(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, result.New(result.InvalidRequest, "the body holds more than one JSON value; send one object")
	}
	return request, request.check(endpoint)
}

func describe(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return "field " + wrongType.Field + " has the wrong type " + wrongType.Value + "; send " + wrongType.Type.String()
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func (r *Request) check(endpoint Endpoint) error {
	if endpoint == ChatCompletions && (len(r.Messages) == 0 || r.Prompt != nil) {
		return result.New(result.InvalidRequest, "messages is empty, or prompt is set; chat requests have messages only")
	}
	if endpoint == Completions && (r.Prompt == nil || len(r.Messages) > 0) {
		return result.New(result.InvalidRequest, "prompt is missing, or messages is set; text requests have a prompt only")
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return result.New(result.InvalidRequest, "max_tokens is negative; leave it out or send a positive number")
	}
	if r.N != nil && *r.N != 1 {
		return result.New(result.InvalidRequest, "n is %d; only 1 is supported", *r.N)
	}
	for i, message := range r.Messages {
		if message.Role == "" {
			return result.New(result.InvalidRequest, "messages[%d].role is empty", i)
		}
	}
	return nil
}

// PromptText returns the prompt as one text, from which the identifiers of its prefixes are
// computed.
func (r *Request) PromptText() string {
	if r.Prompt != nil {
		return *r.Prompt
	}
	if len(r.Messages) == 1 && r.Messages[0].Role == "user" {
		return string(r.Messages[0].Content)
	}
	var text strings.Builder
	for _, message := range r.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(string(message.Content))
		text.WriteByte('\n')
	}
	return text.String()
}

// OutputLimit returns the maximum number of output tokens that the request asks for, or
// fallback if it doesn't say.
func (r *Request) OutputLimit(fallback int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return fallback
}

// ForEngine returns the request body to send to an engine. It always asks for a stream and an
// explicit limit of the output, whatever the caller asked for.
func (r *Request) ForEngine(model string, outputLimit int) ([]byte, error) {
	forwarded := *r
	forwarded.Model = model
	forwarded.Stream = true
	forwarded.StreamOptions = nil
	forwarded.MaxTokens = outputLimit
	forwarded.MaxCompletionTokens = 0
	return json.Marshal(&forwarded)
}
