package lavfront

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cespare/xxhash/v2"
)

// The last part of a caller's time is left for the final answer to reach him.
const (
	answerTime = 100 * time.Millisecond
	answerPart = 10
)

// prompt is a prompt that has been read and checked.
type prompt struct {
	request *lavrequest.Request
	text    string
	stream  bool
}

func (f *Front) readPrompt(w http.ResponseWriter, r *http.Request, customer string) (*prompt, error) {
	var body promptBody
	if err := lavstep.Failpoint(r.Context(), lavstep.CallerRead, customer); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err != nil {
		return nil, badRequest("request body: " + err.Error())
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest("request body: " + err.Error())
	}
	if err := body.check(); err != nil {
		return nil, err
	}
	model, adapter, err := f.model(body.Model, body.Adapter)
	if err != nil {
		return nil, err
	}
	text := body.text()
	allowed, err := timeout(r)
	if err != nil {
		return nil, err
	}
	k, err := kind(r, lavrequest.KindInteractive)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &prompt{
		text:   text,
		stream: body.Stream,
		request: &lavrequest.Request{
			ID:           lavrequest.NewIDForHost(f.parts.Self().Incarnation),
			Customer:     customer,
			Kind:         k,
			Model:        model,
			Adapter:      adapter,
			PromptTokens: len(text)/lavrequest.BytesPerToken + 1,
			MaxTokens:    body.maxTokens(),
			Sampling:     body.sampling(),
			Prefixes:     lavrequest.HashPrefixes(text),
			Fingerprint:  xxhash.Sum64String(model + "\x00" + adapter + "\x00" + text),
			Arrived:      now,
			Deadline:     now.Add(allowed - min(allowed/answerPart, answerTime)),
		},
	}, nil
}
