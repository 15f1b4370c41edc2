package lavengine_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
)

// assertRepliesAreBroken checks that none of the answers counts as an engine's reply, or as its stream.
func assertRepliesAreBroken(t *testing.T, answers []string) {
	t.Helper()
	calls := map[string]func(ctx context.Context, e lavengine.Engine) error{
		"Release": func(ctx context.Context, e lavengine.Engine) error { return e.Release(ctx, "r") },
		"Submit": func(ctx context.Context, e lavengine.Engine) error {
			_, err := e.Submit(ctx, lavengine.Submission{ID: "r", Prompt: "p", MaxTokens: 3})
			return err
		},
	}
	for _, answer := range answers {
		head, _, _ := strings.Cut(answer, "\r\n\r\n")
		for name, call := range calls {
			t.Run(name+"/"+strings.ReplaceAll(head, "\r\n", "|"), func(t *testing.T) {
				withEngine(t, func(w http.ResponseWriter, r *http.Request) { lavfake.RespondRaw(answer)(w, r) },
					func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
						lavassert.ErrorIs(t, call(t.Context(), e), lavengine.ErrBroken)
					})
			})
		}
	}
}

// namesIncarnation is the line by which an engine names its incarnation.
const namesIncarnation = lavengine.HeaderIncarnation + ": i\r\n"

// TestReplyOfNoStatusIsBroken guards against an answer whose status is none and that counts as an engine's success.
func TestReplyOfNoStatusIsBroken(t *testing.T) {
	assertRepliesAreBroken(t, lavfake.AnswersOfNoStatus(namesIncarnation))
}

// TestReplyOfNoFieldNameIsBroken guards against an answer in whose head a name can't be that of a field, and that
// counts as an engine's success.
func TestReplyOfNoFieldNameIsBroken(t *testing.T) {
	assertRepliesAreBroken(t, lavfake.AnswersOfNoFieldName(namesIncarnation))
}
