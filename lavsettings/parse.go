package lavsettings

import (
	"os"

	"lavenderrack.example/lavenderrack/lavjson"
)

// Load reads and checks the settings in the file with the given name.
func Load(name string) (Settings, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, err
	}
	return Parse(name, text)
}

// Parse decodes and checks the text of a settings file. The name is used in messages.
// The error is of type lavjson.Faults.
func Parse(name string, text []byte) (Settings, error) {
	d, err := lavjson.Parse(name, text)
	if err != nil {
		return Settings{}, err
	}
	s := Default()
	if err := d.Decode(&s); err != nil {
		return Settings{}, err
	}
	c := &checker{document: d}
	c.check(&s)
	if len(c.faults) > 0 {
		return Settings{}, c.faults
	}
	return s, nil
}
