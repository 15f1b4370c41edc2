package lavfront

import (
	"encoding/json"

	"lavenderrack.example/lavenderrack/lavengine"
)

// chatMessage is a message of a chat response.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answerFormat encodes answers in one of the OpenAI response formats.
type answerFormat struct {
	// encodeChunk encodes one event of a streamed response.
	encodeChunk func(p *prompt, f lavengine.Frame) []byte
	// encodeResponse encodes a response that is not streamed. The parameter last is
	// the final frame of the answer.
	encodeResponse func(p *prompt, text string, last lavengine.Frame) []byte
}

// formatID identifies an answerFormat in resume tokens.
type formatID int

// The response formats. Their numbers are part of resume tokens.
const (
	formatCompletion formatID = iota + 1
	formatChat
)

var formats = map[formatID]answerFormat{
	formatCompletion: {encodeChunk: completionChunk, encodeResponse: completionResponse},
	formatChat:       {encodeChunk: chatChunk, encodeResponse: chatResponse},
}

// newUsage returns the token counts of a prompt with an answer of the given length.
func newUsage(p *prompt, tokens int) lavengine.Usage {
	return lavengine.Usage{
		PromptTokens:     p.request.PromptTokens,
		CompletionTokens: tokens,
		TotalTokens:      p.request.PromptTokens + tokens,
	}
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Marshal fails only for values that JSON cannot represent. The
		// structs of this package contain none.
		panic(err)
	}
	return data
}

// completionChunk encodes an event, which states its place in the answer.
func completionChunk(p *prompt, f lavengine.Frame) []byte {
	chunk := newCompletion(p, f)
	chunk.Offset = &f.Offset
	return mustMarshal(chunk)
}

// newCompletion returns what events and whole responses have in common.
func newCompletion(p *prompt, f lavengine.Frame) lavengine.Chunk {
	usage := newUsage(p, f.Offset+f.Tokens)
	return lavengine.Chunk{
		ID:      string(p.request.ID),
		Object:  "text_completion",
		Created: p.request.Arrived.Unix(),
		Model:   p.request.Model,
		Choices: []lavengine.Choice{{Text: f.Text, FinishReason: f.FinishReason()}},
		Usage:   &usage,
	}
}

func completionResponse(p *prompt, text string, last lavengine.Frame) []byte {
	last.Text = text
	return mustMarshal(newCompletion(p, last))
}

// chatBody is a chat response or one chunk of a streamed chat response. In a chunk,
// the choices contain deltas instead of messages.
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

// encodeChat encodes a chat response or chunk with one choice.
func encodeChat(p *prompt, object string, choice chatChoice, tokens int) []byte {
	return mustMarshal(chatBody{
		ID:      string(p.request.ID),
		Object:  object,
		Created: p.request.Arrived.Unix(),
		Model:   p.request.Model,
		Choices: []chatChoice{choice},
		Usage:   newUsage(p, tokens),
	})
}

func chatChunk(p *prompt, f lavengine.Frame) []byte {
	delta := &chatMessage{Role: "assistant", Content: f.Text}
	return encodeChat(p, "chat.completion.chunk", chatChoice{Delta: delta, FinishReason: f.FinishReason()}, f.Offset+f.Tokens)
}

func chatResponse(p *prompt, text string, last lavengine.Frame) []byte {
	answer := &chatMessage{Role: "assistant", Content: text}
	return encodeChat(p, "chat.completion", chatChoice{Message: answer, FinishReason: last.FinishReason()}, last.Offset+last.Tokens)
}
