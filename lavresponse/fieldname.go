package lavresponse

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// checkFieldNames returns an error if a name in a head can't be that of a field. net/http accepts
// blanks in names, also in those of the fields that state how a body ends, which it then ignores.
func checkFieldNames(fields map[string][]string) error {
	for name := range fields {
		if !isFieldName(name) {
			return errors.Newf("response has a field named %q", name)
		}
	}
	return nil
}

// fieldNameSymbols are the characters of field names other than letters and digits.
const fieldNameSymbols = "!#$%&'*+-.^_`|~"

// isFieldName reports whether a text can be the name of a field.
func isFieldName(name string) bool {
	return name != "" && strings.IndexFunc(name, isOutsideFieldName) < 0
}

func isOutsideFieldName(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	isDigit := '0' <= r && r <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune(fieldNameSymbols, r)
}
