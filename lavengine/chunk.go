package lavengine

import (
	"encoding/json"
	"strconv"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Chunk is one event of a completion stream in the OpenAI format. Its event ID
// is the number of answer tokens up to the end of the chunk, so that a client
// can resume the stream with Last-Event-ID.
type Chunk struct {
	ID          string      `json:"id"`
	Object      string      `json:"object"`
	Created     int64       `json:"created"`
	Model       string      `json:"model"`
	Choices     []Choice    `json:"choices"`
	Usage       *Usage      `json:"usage,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Offset is the number of answer tokens before this chunk.
	Offset *int `json:"offset,omitempty"`
}

// Choice is the text of a chunk. FinishReason is set only in the last chunk.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage is the number of tokens of a request up to the end of a chunk.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// StreamEnd is the data of the event that follows the last chunk.
const StreamEnd = "[DONE]"

// FinishReason returns the finish reason for the frame's chunk, or nil if the
// frame is not the final one.
func (f *Frame) FinishReason() *string {
	if !f.Final {
		return nil
	}
	reason := string(f.Finish)
	if reason == "" {
		reason = string(FinishStop)
	}
	return &reason
}

// AppendEvent appends f to buf as a server-sent event. After the final frame it
// also appends the StreamEnd event.
func AppendEvent(buf []byte, model string, f Frame) ([]byte, error) {
	chunk := Chunk{
		ID:          string(f.ID),
		Object:      "text_completion",
		Model:       model,
		Choices:     []Choice{{Text: f.Text}},
		Usage:       &Usage{CompletionTokens: f.Offset + f.Tokens, TotalTokens: f.Offset + f.Tokens},
		Incarnation: f.Incarnation,
		Offset:      &f.Offset,
	}
	chunk.Choices[0].FinishReason = f.FinishReason()
	data, err := json.Marshal(chunk)
	if err != nil {
		return buf, err
	}
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(f.Offset+f.Tokens), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if f.Final {
		buf = append(buf, "data: "+StreamEnd+"\n\n"...)
	}
	return buf, nil
}

// errNoFrame means that an event is no frame of an answer.
var errNoFrame = errors.New("event is no frame of an answer")

// toFrame converts a chunk with the event ID end to a frame. Without an offset and an ID nothing shows
// where in the answer it belongs.
func (c *Chunk) toFrame(end int, hasEnd bool) (Frame, error) {
	if !hasEnd || c.Offset == nil || len(c.Choices) != 1 {
		return Frame{}, errNoFrame
	}
	f := Frame{ID: lavrequest.ID(c.ID), Incarnation: c.Incarnation, Offset: *c.Offset, Tokens: end - *c.Offset}
	f.Text = c.Choices[0].Text
	if reason := c.Choices[0].FinishReason; reason != nil {
		f.Final, f.Finish = true, Finish(*reason)
	}
	return f, nil
}
