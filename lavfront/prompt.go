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

// The deadline of a request is earlier than the caller's timeout, so that the
// response reaches the caller in time. The reserve is the timeout divided by
// deliveryReserveDivisor, but at most maxDeliveryReserve.
const (
	maxDeliveryReserve     = 100 * time.Millisecond
	deliveryReserveDivisor = 10
)

// prompt is a prompt request that has been read and validated.
type prompt struct {
	request *lavrequest.Request
	text    string
	stream  bool
}

// readPrompt reads and validates the prompt of a request.
func (f *Front) readPrompt(w http.ResponseWriter, r *http.Request, customer string) (*prompt, error) {
	var body promptBody
	if err := lavstep.Failpoint(r.Context(), lavstep.CallerRead, customer); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPromptBodyBytes))
	if err != nil {
		return nil, badRequest("request body: " + err.Error())
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest("request body: " + err.Error())
	}
	if err := body.validate(); err != nil {
		return nil, err
	}
	model, adapter, err := f.resolveModel(body.Model, body.Adapter)
	if err != nil {
		return nil, err
	}
	text := body.text()
	timeout, err := requestTimeout(r)
	if err != nil {
		return nil, err
	}
	kind, err := requestKind(r, lavrequest.KindInteractive)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &prompt{
		text:   text,
		stream: body.Stream,
		request: &lavrequest.Request{
			ID:           lavrequest.NewIDForHost(f.config.Self().Incarnation),
			Customer:     customer,
			Kind:         kind,
			Model:        model,
			Adapter:      adapter,
			PromptTokens: len(text)/lavrequest.BytesPerToken + 1,
			MaxTokens:    body.maxTokens(),
			Sampling:     body.sampling(),
			Prefixes:     lavrequest.HashPrefixes(text),
			Fingerprint:  xxhash.Sum64String(model + "\x00" + adapter + "\x00" + text),
			Arrived:      now,
			Deadline:     now.Add(timeout - min(timeout/deliveryReserveDivisor, maxDeliveryReserve)),
		},
	}, nil
}
