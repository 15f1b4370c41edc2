package lavfront

import (
	"encoding/json"

	"lavenderrack.example/lavenderrack/lavengine"
)

// chatMessage is a message of an answer.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// shape writes answers in one of the OpenAI shapes.
type shape struct {
	// chunk is an event of a stream, and whole a whole answer.
	chunk func(p *prompt, f lavengine.Frame) []byte
	whole func(p *prompt, text string, last lavengine.Frame) []byte
}

// shapeName names a shape in resume tokens.
type shapeName int

// The shapes.
const (
	shapeCompletion shapeName = iota + 1
	shapeChat
)

var shapes = map[shapeName]shape{
	shapeCompletion: {chunk: completionChunk, whole: completionWhole},
	shapeChat:       {chunk: chatChunk, whole: chatWhole},
}

func usageOf(p *prompt, tokens int) lavengine.Usage {
	return lavengine.Usage{
		PromptTokens:     p.request.PromptTokens,
		CompletionTokens: tokens,
		TotalTokens:      p.request.PromptTokens + tokens,
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Only values without JSON forms fail, and there are none here.
		panic(err)
	}
	return data
}

func completionChunk(p *prompt, f lavengine.Frame) []byte {
	usage := usageOf(p, f.Offset+f.Tokens)
	return encode(lavengine.Chunk{
		ID:      string(p.request.ID),
		Object:  "text_completion",
		Created: p.request.Arrived.Unix(),
		Model:   p.request.Model,
		Choices: []lavengine.Choice{{Text: f.Text, FinishReason: f.FinishReason()}},
		Usage:   &usage,
	})
}

func completionWhole(p *prompt, text string, last lavengine.Frame) []byte {
	last.Text = text
	return completionChunk(p, last)
}

// chatBody is a chat answer; Choices hold deltas in a stream.
type chatBody struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chatChoice    `json:"choices"`
	Usage   lavengine.Usage `json:"usage"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

func chatOf(p *prompt, object string, choice chatChoice, tokens int) []byte {
	return encode(chatBody{
		ID:      string(p.request.ID),
		Object:  object,
		Created: p.request.Arrived.Unix(),
		Model:   p.request.Model,
		Choices: []chatChoice{choice},
		Usage:   usageOf(p, tokens),
	})
}

func chatChunk(p *prompt, f lavengine.Frame) []byte {
	delta := &chatMessage{Role: "assistant", Content: f.Text}
	return chatOf(p, "chat.completion.chunk", chatChoice{Delta: delta, FinishReason: f.FinishReason()}, f.Offset+f.Tokens)
}

func chatWhole(p *prompt, text string, last lavengine.Frame) []byte {
	answer := &chatMessage{Role: "assistant", Content: text}
	return chatOf(p, "chat.completion", chatChoice{Message: answer, FinishReason: last.FinishReason()}, last.Offset+last.Tokens)
}
