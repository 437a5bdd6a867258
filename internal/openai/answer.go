package openai

import (
	"encoding/json"
	"strconv"

	"github.com/tinarch/tinarch/internal/result"
)

// Usage is the token counts of an answer.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail says how many of the prompt tokens were in the prefix cache.
type PromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewUsage returns the usage of an answer.
func NewUsage(prompt, output, cached int) *Usage {
	return &Usage{
		PromptTokens:        prompt,
		CompletionTokens:    output,
		TotalTokens:         prompt + output,
		PromptTokensDetails: &PromptDetail{CachedTokens: cached},
	}
}

// Delta is the text that one chunk adds to a chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one of the alternatives of an answer; tinarch only returns one. Text is set in text
// completions, Delta in the chunks of a streamed chat answer, and Message in chat answers that
// are not streamed.
type Choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *Delta         `json:"delta,omitempty"`
	Message      *AnswerMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// AnswerMessage is the message of a chat answer that is not streamed.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is the body of an answer that is not streamed, or one chunk of a streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Object types of answers and their chunks, and the finish reason of the answers that are built
// here. In the API it means that the limit of output tokens was reached.
const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	finishLength    = "length"
)

// ChunkWriter writes the chunks of one answer without the reflection of encoding/json, because
// chunks are the most frequent messages.
type ChunkWriter struct {
	head string
	chat bool
}

// NewChunkWriter returns a writer for the answer with the identifier id.
func NewChunkWriter(endpoint Endpoint, id, model string, created int64) *ChunkWriter {
	chat := endpoint == ChatCompletions
	object := objectText
	if chat {
		object = objectChatChunk
	}
	name, _ := json.Marshal(model)
	head := `{"id":"` + id + `","object":"` + object + `","created":` + strconv.FormatInt(created, 10) +
		`,"model":` + string(name) + `,"choices":[{"index":0,`
	return &ChunkWriter{head: head, chat: chat}
}

// Append appends a chunk to buffer. The text must not contain characters that JSON escapes. The
// last chunk gets a finish reason.
func (w *ChunkWriter) Append(buffer, text []byte, last bool) []byte {
	buffer = append(buffer, w.head...)
	if w.chat {
		buffer = append(buffer, `"delta":{"content":"`...)
		buffer = append(buffer, text...)
		buffer = append(buffer, `"}`...)
	} else {
		buffer = append(buffer, `"text":"`...)
		buffer = append(buffer, text...)
		buffer = append(buffer, '"')
	}
	if last {
		return append(buffer, `,"finish_reason":"length"}]}`...)
	}
	return append(buffer, `,"finish_reason":null}]}`...)
}

// ChunkText returns the text that a chunk adds to the answer.
func ChunkText(data []byte) (string, error) {
	var chunk Answer
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", result.New(result.Internal, "a chunk can't be read: %v", err)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	choice := chunk.Choices[0]
	switch {
	case choice.Delta != nil:
		return choice.Delta.Content, nil
	case choice.Text != nil:
		return *choice.Text, nil
	}
	return "", nil
}

// NewAnswer returns the body of an answer that is not streamed.
func NewAnswer(endpoint Endpoint, id, model string, created int64, text string, usage *Usage) Answer {
	reason := finishLength
	answer := Answer{ID: id, Object: objectText, Created: created, Model: model, Usage: usage}
	choice := Choice{FinishReason: &reason}
	if endpoint == ChatCompletions {
		answer.Object = objectChat
		choice.Message = &AnswerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []Choice{choice}
	return answer
}

// UsageChunk returns the chunk with the token counts that ends a stream if the caller has asked
// for it (stream_options.include_usage).
func UsageChunk(endpoint Endpoint, id, model string, created int64, usage *Usage) Answer {
	object := objectText
	if endpoint == ChatCompletions {
		object = objectChatChunk
	}
	return Answer{ID: id, Object: object, Created: created, Model: model, Choices: []Choice{}, Usage: usage}
}

// ErrorBody is the body of an error response, in the form that OpenAI clients expect.
type ErrorBody struct {
	Error ErrorContent `json:"error"`
}

// ErrorContent describes the error.
type ErrorContent struct {
	Message string `json:"message"`
	// Type is the outcome of the request: "ran", "did not run" or "unknown".
	Type string `json:"type"`
	// Code is the name of the result code.
	Code string `json:"code"`
	// Number is the numeric result code.
	Number int `json:"number"`
	// Attempt is the identifier of the attempt, which callers can quote to support.
	Attempt          string `json:"attempt,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// NewErrorBody returns the error response for a caller.
func NewErrorBody(err *result.Error, attempt string) ErrorBody {
	entry := err.Code.Entry()
	return ErrorBody{Error: ErrorContent{
		Message:          err.Message,
		Type:             string(entry.Outcome),
		Code:             entry.Name,
		Number:           int(entry.Code),
		Attempt:          attempt,
		RetryAfterMillis: err.RetryAfterMillis,
	}}
}

// TextChunk returns a chunk with the whole text of an answer. It is used for answers that were
// stored earlier under an idempotency key and are streamed to the caller now.
func TextChunk(endpoint Endpoint, id, model string, created int64, text string) ([]byte, error) {
	reason := finishLength
	answer := Answer{ID: id, Object: objectText, Created: created, Model: model}
	choice := Choice{FinishReason: &reason}
	if endpoint == ChatCompletions {
		answer.Object = objectChatChunk
		choice.Delta = &Delta{Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []Choice{choice}
	return json.Marshal(answer)
}
