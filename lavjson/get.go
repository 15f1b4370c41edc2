package lavjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"lavenderrack.example/lavenderrack/lavresponse"

	"github.com/cockroachdb/errors"
)

// Get sends a GET request to the URL target and decodes the JSON response, such as the
// status of another program. It reads at most limit bytes and, unlike Decode, ignores
// names that T doesn't have.
func Get[T any](ctx context.Context, client *http.Client, target string, limit int64) (T, error) {
	var value T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return value, err
	}
	answer, err := lavresponse.Checked(client).Do(request)
	if err != nil {
		return value, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return value, errors.Newf("%s answered with status %d", target, answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, limit)).Decode(&value)
	return value, errors.Wrapf(err, "answer of %s", target)
}
