package lavresponse_test

import (
	"io"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavresponse"
)

// TestBudget checks the budget that keeps many large responses at once from filling the
// memory of the host.
func TestBudget(t *testing.T) {
	budget := lavresponse.NewBudget(1000)
	lavassert.True(t, "first response", budget.Take(600))
	lavassert.True(t, "no room for the second one", !budget.Take(600))
	budget.Add(600)
	lavassert.True(t, "room once the first one has ended", budget.Take(600))
}

// TestReadAll checks which responses are read whole, and that the budget is whole again after their release.
func TestReadAll(t *testing.T) {
	const kib = 1 << 10
	tests := []struct {
		name                        string
		length, limit, budget, want int
		err                         error
	}{
		{"Empty", 0, 512 * kib, 0, 0, nil},
		{"Free", 32*kib - 1, 512 * kib, 0, 32*kib - 1, nil},
		{"FreeButForItsEnd", 32 * kib, 512 * kib, 32 * kib, 32 * kib, nil},
		{"WithinBudget", 200 * kib, 512 * kib, 224 * kib, 200 * kib, nil},
		{"OverBudget", 200 * kib, 512 * kib, 100 * kib, 128 * kib, lavresponse.ErrOverBudget},
		{"AsLongAsAllowed", 512 * kib, 512 * kib, 480 * kib, 512 * kib, nil},
		{"AsLongAsAnOddLimit", 300 * kib, 300 * kib, 268 * kib, 300 * kib, nil},
		{"TooLong", 512*kib + 1, 512 * kib, 480 * kib, 0, lavresponse.ErrTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := lavresponse.NewBudget(int64(test.budget))
			response := strings.NewReader(strings.Repeat("x", test.length))
			body, err := budget.ReadAll(response, test.limit)
			if test.err == nil {
				lavassert.NoError(t, err)
			} else {
				lavassert.ErrorIs(t, err, test.err)
			}
			if body != nil {
				lavassert.Equal(t, "bytes held", len(body.Bytes), test.want)
				lavassert.NoError(t, body.SkipRest(response, test.limit))
			}
			body.Release()
			body.Release()
			lavassert.Equal(t, "budget afterwards", budget.Left(), int64(test.budget))
		})
	}
}

// TestSkipRestIsLimited checks that the rest of a response without end isn't read.
func TestSkipRestIsLimited(t *testing.T) {
	const length, limit = 1 << 20, 512 << 10
	response := strings.NewReader(strings.Repeat("x", length))
	body, err := lavresponse.NewBudget(0).ReadAll(response, limit)
	lavassert.ErrorIs(t, err, lavresponse.ErrOverBudget)
	lavassert.ErrorIs(t, body.SkipRest(response, limit), lavresponse.ErrTooLong)
	lavassert.AtLeast(t, "bytes left unread", response.Len(), length-limit-1)
}

// TestLines checks which lines are read, and that the budget is whole again afterwards.
func TestLines(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	tests := []struct {
		name, text string
		budget     int64
		want       []string
		err        error
	}{
		{"Short", "a\nb\r\n\nc", 0, []string{"a", "b", "", "c"}, io.EOF},
		{"Empty", "", 0, nil, io.EOF},
		{"Long", long + "\n" + long + "\nc\n", 1 << 20, []string{long, long, "c"}, io.EOF},
		{"LongWithoutEnd", "a\n" + long, 1 << 20, []string{"a", long}, io.EOF},
		{"OverBudget", "a\n" + long + "\nb\n", 40 << 10, []string{"a"}, lavresponse.ErrOverBudget},
		{"TooLong", "a\n" + long + long + "\nb\n", 1 << 20, []string{"a"}, lavresponse.ErrTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := lavresponse.NewBudget(test.budget)
			lines := budget.Lines(strings.NewReader(test.text), 150<<10)
			var got []string
			line, err := lines.Next()
			for ; err == nil; line, err = lines.Next() {
				got = append(got, string(line))
			}
			lavassert.ErrorIs(t, err, test.err)
			lavassert.Equal(t, "lines", got, test.want)
			lavassert.Equal(t, "budget afterwards", budget.Left(), test.budget)
		})
	}
}
