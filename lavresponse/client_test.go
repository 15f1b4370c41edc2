package lavresponse_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavresponse"
)

// get sends a request and returns the body of the response.
func get(t *testing.T, client *http.Client, target string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target, http.NoBody)
	lavassert.NoError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestInformationalResponsesAreLimited checks that responses which are only informational may precede a response, but
// not without end.
func TestInformationalResponsesAreLimited(t *testing.T) {
	for heads, accepted := range map[int]bool{0: true, 1: true, 16: true, 17: false} {
		t.Run(fmt.Sprint(heads), func(t *testing.T) {
			answer := strings.Repeat("HTTP/1.1 103 x\r\nA: b\r\n\r\n", heads) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			server := httptest.NewServer(lavfake.RespondRaw(answer))
			defer server.Close()
			_, err := get(t, lavresponse.NewClient(&http.Client{}), server.URL)
			lavassert.Equal(t, "accepted", err == nil, accepted)
		})
	}
}

// answering is a transport that answers with a status.
type answering int

func (status answering) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(status), Body: http.NoBody}, nil
}

// TestResponsesOfAnyTransportAreChecked checks that a response is checked also if it comes from no http.Transport.
func TestResponsesOfAnyTransportAreChecked(t *testing.T) {
	for status, accepted := range map[answering]bool{200: true, 700: false} {
		t.Run(fmt.Sprint(int(status)), func(t *testing.T) {
			_, err := get(t, lavresponse.NewClient(&http.Client{Transport: status}), "http://10.0.0.1/")
			lavassert.Equal(t, "accepted", err == nil, accepted)
		})
	}
}

// TestEquippedClientIsKept checks that a client that is equipped already keeps its connections and its budget.
func TestEquippedClientIsKept(t *testing.T) {
	client := lavresponse.NewClient(&http.Client{})
	lavassert.True(t, "the same client again", lavresponse.NewClient(client) == client)
	lavassert.True(t, "the same client again", lavresponse.Checked(client) == client)
	singleUse := lavresponse.WithoutKeepAlives(client)
	lavassert.True(t, "the same budget", lavresponse.BudgetOf(singleUse) == lavresponse.BudgetOf(client))
	lavassert.True(t, "another budget", lavresponse.BudgetOf(lavresponse.NewClient(&http.Client{})) != lavresponse.BudgetOf(client))
}
