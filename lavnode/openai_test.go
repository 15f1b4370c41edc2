package lavnode_test

import (
	"net/http"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// openAIClient returns a client of the OpenAI library that sends its requests to one
// entry host, without retries.
func (f *fleet) openAIClient(t *testing.T, key string) openai.Client {
	t.Helper()
	entry := f.client.Entries(t.Context())[0]
	return openai.NewClient(option.WithBaseURL("http://"+entry.String()+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

const question = "lace a wheel of 32 spokes"

// chatPrompt is the prompt to which the front end converts a chat with one user
// message.
const chatPrompt = "<|user|>" + question + "\n"

func completion(tokens int64) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model:     "caption",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(question)},
		MaxTokens: openai.Int(tokens),
	}
}

func chat(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "caption",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxCompletionTokens: openai.Int(tokens),
	}
}

// assertAPIError checks that err is an error response of the OpenAI API with the given
// status and parameter, a message and a type.
func assertAPIError(t *testing.T, err error, status int, param string) {
	t.Helper()
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) {
		t.Fatalf("error %v, want an error response of the OpenAI API", err)
	}
	lavassert.Equal(t, "status", apiErr.StatusCode, status)
	lavassert.Equal(t, "param", apiErr.Param, param)
	lavassert.True(t, "has a message and a type", apiErr.Message != "" && apiErr.Type != "")
}

// TestClients checks that the OpenAI library and lavclient work with a fleet.
func TestClients(t *testing.T) {
	f := startFleet(t)
	f.awaitReady(t)
	t.Run("OpenAI answers", func(t *testing.T) { openAIAnswers(t, f) })
	t.Run("OpenAI errors", func(t *testing.T) { openAIErrors(t, f) })
	t.Run("a cut stream goes on at another host", func(t *testing.T) { testResumeAtOtherHost(t, f) })
}

func openAIAnswers(t *testing.T, f *fleet) {
	client := f.openAIClient(t, token)
	ctx := t.Context()

	t.Run("completion", func(t *testing.T) {
		got, err := client.Completions.New(ctx, completion(8))
		lavassert.NoError(t, err)
		lavassert.Equal(t, "text", got.Choices[0].Text, lavfake.AnswerText(question, 0, 8))
		lavassert.Equal(t, "reason", string(got.Choices[0].FinishReason), "length")
		lavassert.Equal(t, "tokens", got.Usage.CompletionTokens, 8)
	})
	t.Run("completion as a stream", func(t *testing.T) {
		stream := client.Completions.NewStreaming(ctx, completion(8))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Text)
		}
		lavassert.NoError(t, stream.Err())
		lavassert.Equal(t, "text", text.String(), lavfake.AnswerText(question, 0, 8))
	})
	t.Run("chat", func(t *testing.T) {
		got, err := client.Chat.Completions.New(ctx, chat(8))
		lavassert.NoError(t, err)
		lavassert.Equal(t, "text", got.Choices[0].Message.Content, lavfake.AnswerText(chatPrompt, 0, 8))
		lavassert.Equal(t, "role", string(got.Choices[0].Message.Role), "assistant")
	})
	t.Run("chat as a stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, chat(8))
		complete := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			lavassert.True(t, "chunk belongs to the same completion", complete.AddChunk(stream.Current()))
		}
		lavassert.NoError(t, stream.Err())
		lavassert.Equal(t, "text", complete.Choices[0].Message.Content, lavfake.AnswerText(chatPrompt, 0, 8))
	})
	t.Run("content in parts", func(t *testing.T) {
		params := chat(8)
		params.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage([]openai.ChatCompletionContentPartUnionParam{
			openai.TextContentPart(question[:5]), openai.TextContentPart(question[5:]),
		})}
		got, err := client.Chat.Completions.New(ctx, params)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "text", got.Choices[0].Message.Content, lavfake.AnswerText(chatPrompt, 0, 8))
	})
	t.Run("a stop text ends the answer before it", func(t *testing.T) {
		complete := lavfake.AnswerText(question, 0, 8)
		params := completion(8)
		params.Stop = openai.CompletionNewParamsStopUnion{OfStringArray: []string{complete[12:17]}}
		got, err := client.Completions.New(ctx, params)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "text", got.Choices[0].Text, complete[:12])
		lavassert.Equal(t, "reason", string(got.Choices[0].FinishReason), "stop")
	})
	t.Run("models", func(t *testing.T) {
		list, err := client.Models.List(ctx)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "models", len(list.Data), 1)
		one, err := client.Models.Get(ctx, "caption")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "model", one.ID, "caption")
		_, err = client.Models.Get(ctx, "none")
		assertAPIError(t, err, http.StatusNotFound, "model")
	})
}

func openAIErrors(t *testing.T, f *fleet) {
	client := f.openAIClient(t, token)
	for _, c := range []struct {
		name, param string
		status      int
		change      func(p *openai.ChatCompletionNewParams)
	}{
		{"unknown model", "model", http.StatusNotFound, func(p *openai.ChatCompletionNewParams) { p.Model = "none" }},
		{"two choices", "n", http.StatusBadRequest, func(p *openai.ChatCompletionNewParams) { p.N = openai.Int(2) }},
		{"no message", "prompt", http.StatusBadRequest, func(p *openai.ChatCompletionNewParams) {
			p.Messages = []openai.ChatCompletionMessageParamUnion{}
		}},
		{"no tokens", "max_tokens", http.StatusBadRequest, func(p *openai.ChatCompletionNewParams) { p.MaxCompletionTokens = openai.Int(0) }},
		{"log probabilities", "logprobs", http.StatusBadRequest, func(p *openai.ChatCompletionNewParams) { p.Logprobs = openai.Bool(true) }},
		{"an image", "", http.StatusBadRequest, func(p *openai.ChatCompletionNewParams) {
			image := openai.ImageContentPart(openai.ChatCompletionContentPartImageImageURLParam{URL: "http://127.0.0.1/rim.png"})
			p.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage([]openai.ChatCompletionContentPartUnionParam{image})}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			params := chat(8)
			c.change(&params)
			_, err := client.Chat.Completions.New(t.Context(), params)
			assertAPIError(t, err, c.status, c.param)
		})
	}
	t.Run("unknown credential", func(t *testing.T) {
		unknownClient := f.openAIClient(t, "stranger")
		_, err := unknownClient.Completions.New(t.Context(), completion(8))
		assertAPIError(t, err, http.StatusUnauthorized, "")
	})
	t.Run("in a stream", func(t *testing.T) {
		params := completion(8)
		params.Model = "none"
		stream := client.Completions.NewStreaming(t.Context(), params)
		lavassert.True(t, "no event", !stream.Next())
		assertAPIError(t, stream.Err(), http.StatusNotFound, "model")
	})
}
