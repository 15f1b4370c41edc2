package lavendpoint_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
)

// TestForeignListIsNoHostList guards against a success of something else that counts as a list by which all hosts have
// left.
func TestForeignListIsNoHostList(t *testing.T) {
	for body, isList := range map[string]bool{
		`[{"Name":"a","Leaving":true}]`: true, `[]`: true,
		"null": false, "{}": false, "": false, `[{"Key":"a"}]`: false, `[null]`: false, `[{"Name":"a"},{}]`: false, `[{"Name":"a"`: false, "<html>ok</html>": false,
	} {
		t.Run(body, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer server.Close()
			_, err := lavendpoint.NewHTTPHostList(server.Client(), server.URL).Hosts(t.Context())
			lavassert.Equal(t, "is a list", err == nil, isList)
		})
	}
}
