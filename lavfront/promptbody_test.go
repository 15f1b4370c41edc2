package lavfront

import (
	"encoding/json"
	"testing"
)

func FuzzPromptBody(f *testing.F) {
	for _, seed := range []string{
		`{"model": "m", "prompt": "p", "max_tokens": 8, "stream": true, "stop": ["a", "b"]}`,
		`{"model": "m", "prompt": ["p"], "n": 1, "logprobs": null}`,
		`{"model": "m", "prompt": [1, 2]}`, `{"model": "m", "prompt": ["a", "b"]}`,
		`{"model": "m", "messages": [{"role": "user", "content": "c"}], "max_completion_tokens": 9}`,
		`{"model": "m", "messages": [{"role": "user", "content": [{"type": "text", "text": "c"}]}]}`,
		`{"model": "m", "messages": [{"role": "user", "content": null}], "tools": [{}]}`,
		`{"max_tokens": -1}`, `{"max_tokens": 1e99}`, `{"stop": {}}`, `[]`, `null`, ``, `{"model": "\ud800"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var body promptBody
		if json.Unmarshal(data, &body) != nil || body.validate() != nil {
			return
		}
		if body.Model == "" || body.text() == "" || body.maxTokens() <= 0 || len(body.Stop) > maxStopSequences {
			t.Errorf("validate accepted an invalid prompt: %+v", body)
		}
	})
}
