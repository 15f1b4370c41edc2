package lavhost

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
)

// hostPackages lists the packages that run in an entry host and measure time.
var hostPackages = []string{
	"lavconn", "lavdatagram", "lavfleet", "lavhost", "lavmember", "lavmesh", "lavmirror", "lavplan", "lavrelay", "lavretry",
}

// TestNoWallClock checks that the host's packages don't calculate with the wall
// clock. It jumps when the machine's clock is set, and timeouts that depend on
// it would then be wrong.
func TestNoWallClock(t *testing.T) {
	for _, name := range hostPackages {
		paths, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		lavassert.NoError(t, err)
		lavassert.True(t, name+" has sources", len(paths) > 0)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			lavassert.NoError(t, err)
			if strings.Contains(string(text), "time.Now().Unix") && path != filepath.Join("..", "lavhost", "clock_test.go") {
				t.Errorf("%s calculates with the wall clock", path)
			}
		}
	}
}
