package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/result"
)

// Answer is what a caller saw of a request.
type Answer struct {
	Text string
	// Whole tells that the answer arrived completely, with its end marker if streamed.
	Whole      bool
	Code       result.Code
	CodeName   string
	Message    string
	FirstToken time.Duration
	Gaps       []time.Duration
	Total      time.Duration
	Usage      *openai.Usage
	// Attempt is the ID that the node gave the request.
	Attempt string
}

// Sender sends requests to nodes.
type Sender struct {
	client    *http.Client
	addresses []string
}

// NewSender returns a sender to the nodes at the addresses.
func NewSender(addresses []string) *Sender {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Sender{client: &http.Client{Transport: transport}, addresses: addresses}
}

// Close closes idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

type completionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Send sends a request and reads its answer. number, modulo the number of addresses, selects
// the node.
func (s *Sender) Send(ctx context.Context, number int, stream Stream, arrival Arrival, prompt, idempotencyKey string) Answer {
	began := time.Now()
	body, err := json.Marshal(completionRequest{
		Model: stream.Model, Prompt: prompt, MaxTokens: arrival.OutputTokens, Stream: !stream.Whole, StreamOptions: streamOptionsFor(!stream.Whole),
	})
	if err != nil {
		return Answer{Code: result.Internal, Message: err.Error()}
	}
	url := "http://" + s.addresses[number%len(s.addresses)] + string(openai.Completions)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{Code: result.Internal, Message: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+arrival.Key)
	request.Header.Set("Tinarch-Kind", stream.Kind)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{Code: result.PeerUnavailable, CodeName: "connection", Message: err.Error(), Total: time.Since(began)}
	}
	defer response.Body.Close()
	answer := readAnswer(response, began)
	answer.Total = time.Since(began)
	answer.Attempt = response.Header.Get("Tinarch-Attempt")
	return answer
}

func streamOptionsFor(streamed bool) *streamOptions {
	if !streamed {
		return nil
	}
	return &streamOptions{IncludeUsage: true}
}

func readAnswer(response *http.Response, began time.Time) Answer {
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		return parseError(content, response.StatusCode)
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body, began)
	}
	var whole openai.Answer
	if err := json.NewDecoder(response.Body).Decode(&whole); err != nil || len(whole.Choices) == 0 || whole.Choices[0].Text == nil {
		return Answer{Code: result.AnswerCut, CodeName: "cut", Message: fmt.Sprint(err)}
	}
	return Answer{Text: *whole.Choices[0].Text, Whole: true, Usage: whole.Usage, FirstToken: time.Since(began)}
}

func parseError(content []byte, status int) Answer {
	var body openai.ErrorBody
	if json.Unmarshal(content, &body) != nil || body.Error.Number == 0 {
		return Answer{Code: result.Internal, CodeName: fmt.Sprint("status ", status), Message: string(content)}
	}
	return Answer{Code: result.Code(body.Error.Number), CodeName: body.Error.Code, Message: body.Error.Message}
}

func readStream(body io.Reader, began time.Time) Answer {
	var answer Answer
	var text strings.Builder
	last := began
	lines := bufio.NewReaderSize(body, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			answer.Code, answer.CodeName, answer.Message = result.AnswerCut, "cut", err.Error()
			break
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !isData {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			answer.Whole = true
			break
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			answer = parseError(data, http.StatusOK)
			break
		}
		now := time.Now()
		if !appendChunk(&answer, &text, data) {
			continue
		}
		if answer.FirstToken == 0 {
			answer.FirstToken = now.Sub(began)
		} else {
			answer.Gaps = append(answer.Gaps, now.Sub(last))
		}
		last = now
	}
	answer.Text = text.String()
	return answer
}

// appendChunk adds a chunk of a stream to the answer. It reports whether the chunk contained
// text.
func appendChunk(answer *Answer, text *strings.Builder, data []byte) bool {
	var chunk openai.Answer
	if json.Unmarshal(data, &chunk) != nil {
		return false
	}
	if chunk.Usage != nil {
		answer.Usage = chunk.Usage
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Text == nil {
		return false
	}
	text.WriteString(*chunk.Choices[0].Text)
	return true
}
