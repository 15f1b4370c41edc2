package lavburn

import (
	"context"
	"net/http"
	"strings"

	"lavenderrack.example/lavenderrack/lavjson"
)

// Path is the URL path at which the admin server of a host serves the report.
const Path = "/burn"

// maxReportBytes limits the size of a fetched report.
const maxReportBytes = 16 << 20

// Fetch downloads the report from the host whose admin server has the URL base, such
// as http://10.0.0.1:9000.
func Fetch(ctx context.Context, client *http.Client, base string) (*Report, error) {
	target := strings.TrimSuffix(base, "/") + Path + "?format=json"
	return lavjson.Get[*Report](ctx, client, target, maxReportBytes)
}
