package lavfront

import (
	"encoding/json"
	"strings"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Limits and defaults for the parameters of a prompt.
const (
	// defaultMaxTokens is the maximum length of an answer, in tokens, if the
	// caller sets none.
	defaultMaxTokens = 256
	// maxAnswerTokens is the largest value that a caller may set for the maximum
	// length of an answer, in tokens.
	maxAnswerTokens  = 1 << 20
	maxStopSequences = 4
)

// promptBody is the request body of a prompt, in the OpenAI format. It has the
// fields that are supported and those that are rejected. All other fields are
// ignored, as other servers with this interface do.
type promptBody struct {
	Model    string          `json:"model"`
	Adapter  string          `json:"adapter"`
	Prompt   promptText      `json:"prompt"`
	Messages []promptMessage `json:"messages"`

	MaxTokens *int `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in the chat interface.
	// It takes precedence.
	MaxCompletionTokens *int     `json:"max_completion_tokens"`
	Stream              bool     `json:"stream"`
	Stop                textList `json:"stop"`
	Temperature         *float64 `json:"temperature"`
	TopP                *float64 `json:"top_p"`
	PresencePenalty     *float64 `json:"presence_penalty"`
	FrequencyPenalty    *float64 `json:"frequency_penalty"`
	Seed                *int64   `json:"seed"`

	// The following parameters are not supported. They are rejected rather than
	// ignored because they would change the answer.
	N              *int            `json:"n"`
	BestOf         *int            `json:"best_of"`
	Echo           bool            `json:"echo"`
	Suffix         string          `json:"suffix"`
	LogProbs       json.RawMessage `json:"logprobs"`
	Tools          []any           `json:"tools"`
	Functions      []any           `json:"functions"`
	ResponseFormat struct {
		Type string `json:"type"`
	} `json:"response_format"`
}

// promptMessage is one message of a chat request.
type promptMessage struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

// promptText is a prompt. In JSON it is a string or a list of at most one string.
type promptText string

// errPromptType is returned for a prompt whose JSON type is not supported.
var errPromptType = errors.New("prompt must be a text or a list of one text; token numbers and several prompts are not served")

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	var texts textList
	if texts.UnmarshalJSON(data) != nil || len(texts) > 1 {
		return errPromptType
	}
	if len(texts) == 1 {
		*p = promptText(texts[0])
	}
	return nil
}

// textList is a list of strings. In JSON it is a string, a list of strings or null.
type textList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *textList) UnmarshalJSON(data []byte) error {
	*l = nil
	var one *string
	if json.Unmarshal(data, &one) == nil {
		if one != nil {
			*l = textList{*one}
		}
		return nil
	}
	var list []string
	if json.Unmarshal(data, &list) != nil {
		return errors.New("want a text or a list of texts")
	}
	*l = list
	return nil
}

// messageText is the content of a message. In JSON it is a string, null or a list of
// parts of type "text", which are concatenated.
type messageText string

// UnmarshalJSON implements json.Unmarshaler.
func (m *messageText) UnmarshalJSON(data []byte) error {
	*m = ""
	var text *string
	if json.Unmarshal(data, &text) == nil {
		if text != nil {
			*m = messageText(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(data, &parts) != nil {
		return errors.New("content must be a text or a list of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Newf("content has a part of type %q; only text is served", part.Type)
		}
		*m += messageText(part.Text)
	}
	return nil
}

// validate returns a failure if a parameter is missing, invalid or not supported.
func (b *promptBody) validate() error {
	switch {
	case b.Model == "":
		return badParam("model", "model is required")
	case b.text() == "":
		return badParam("prompt", "a prompt or messages are required")
	case b.maxTokens() <= 0 || b.maxTokens() > maxAnswerTokens:
		return badParam("max_tokens", "max_tokens must be above 0 and at most 1048576")
	case len(b.Stop) > maxStopSequences:
		return badParam("stop", "stop must have at most 4 texts")
	}
	for _, stop := range b.Stop {
		if stop == "" {
			return badParam("stop", "stop must not have an empty text")
		}
	}
	if name := b.unsupportedParam(); name != "" {
		return badParam(name, name+" is not served")
	}
	return nil
}

// unsupportedParam returns the first unsupported parameter of the request, followed
// by the unsupported values if others are accepted. It returns "" if there is none.
func (b *promptBody) unsupportedParam() string {
	logProbs := string(b.LogProbs)
	switch {
	case b.N != nil && *b.N != 1:
		return "n other than 1"
	case b.BestOf != nil && *b.BestOf != 1:
		return "best_of other than 1"
	case b.Echo:
		return "echo"
	case b.Suffix != "":
		return "suffix"
	case logProbs != "" && logProbs != "null" && logProbs != "false":
		return "logprobs"
	case len(b.Tools) > 0:
		return "tools"
	case len(b.Functions) > 0:
		return "functions"
	case b.ResponseFormat.Type != "" && b.ResponseFormat.Type != "text":
		return "response_format other than text"
	default:
		return ""
	}
}

// badParam returns the failure for an invalid parameter. The first word of param is
// the name of the parameter.
func badParam(param, message string) *failure {
	f := badRequest(message)
	f.param, _, _ = strings.Cut(param, " ")
	return f
}

// text returns the text for the engine: the messages of a chat, joined and marked
// with their roles, or else the prompt.
func (b *promptBody) text() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	var joined strings.Builder
	for _, m := range b.Messages {
		joined.WriteString("<|" + m.Role + "|>" + string(m.Content) + "\n")
	}
	return joined.String()
}

// maxTokens returns the maximum length of the answer in tokens.
func (b *promptBody) maxTokens() int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func (b *promptBody) sampling() lavrequest.Sampling {
	return lavrequest.Sampling{
		Stop:             b.Stop,
		Temperature:      b.Temperature,
		TopP:             b.TopP,
		PresencePenalty:  b.PresencePenalty,
		FrequencyPenalty: b.FrequencyPenalty,
		Seed:             b.Seed,
	}
}
