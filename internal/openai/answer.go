package openai

import (
	"encoding/json"
	"strconv"

	"github.com/tinarch/tinarch/internal/result"
)

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail splits the prompt tokens.
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

// Delta is the text of one chunk of a chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one answer. Text is set in text completions, Delta in chunks of a
// chat, Message in whole chat answers.
type Choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *Delta         `json:"delta,omitempty"`
	Message      *AnswerMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// AnswerMessage is the message of a whole chat answer.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is a whole answer or a chunk of one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Object types of answers and their chunks.
const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	finishLength    = "length"
)

// ChunkWriter renders chunks of one answer without reflection: chunks are the
// most frequent message of all.
type ChunkWriter struct {
	head string
	chat bool
}

// NewChunkWriter returns a writer for the answer with the given identifier.
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

// Append appends a chunk with the given text, which must not need escaping.
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

// ChunkText returns the text of a chunk.
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

// NewAnswer returns a whole answer.
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

// UsageChunk returns the last chunk of a stream whose caller asked for usage.
func UsageChunk(endpoint Endpoint, id, model string, created int64, usage *Usage) Answer {
	object := objectText
	if endpoint == ChatCompletions {
		object = objectChatChunk
	}
	return Answer{ID: id, Object: object, Created: created, Model: model, Choices: []Choice{}, Usage: usage}
}

// ErrorBody is the body of a refusal, in the form that OpenAI clients read.
type ErrorBody struct {
	Error ErrorContent `json:"error"`
}

// ErrorContent is the content of a refusal.
type ErrorContent struct {
	Message string `json:"message"`
	// Type is the outcome: "ran", "did not run" or "unknown".
	Type string `json:"type"`
	// Code is the name of the result code.
	Code string `json:"code"`
	// Number is the result code.
	Number int `json:"number"`
	// Attempt is the identifier of the attempt, for support.
	Attempt          string `json:"attempt,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// NewErrorBody renders an error for a caller.
func NewErrorBody(failure *result.Error, attempt string) ErrorBody {
	entry := failure.Code.Entry()
	return ErrorBody{Error: ErrorContent{
		Message:          failure.Message,
		Type:             string(entry.Outcome),
		Code:             entry.Name,
		Number:           int(entry.Code),
		Attempt:          attempt,
		RetryAfterMillis: failure.RetryAfterMillis,
	}}
}

// TextChunk returns a chunk that holds a whole text, for answers that are read
// from store.
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
