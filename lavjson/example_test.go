package lavjson_test

import (
	"fmt"

	"lavenderrack.example/lavenderrack/lavjson"
)

// This example shows that all faults of a file are reported together, with positions.
func ExampleDecode() {
	var wheel struct {
		Spokes int
		Rim    string
	}
	err := lavjson.Decode("wheel.jsonc", []byte(`{
  // The rear wheel.
  "spokes": 32,
  "Rim": 622,
}`), &wheel)
	fmt.Println(err)
	// Output:
	// wheel.jsonc:3:3: unknown name "spokes", want "Spokes"
	// wheel.jsonc:4:10: Rim is the number 622, want a string
}
