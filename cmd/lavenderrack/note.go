package main

import (
	"os"

	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// noteFile is a release note and the parsed document that it was read from. The
// document maps each value to its position in the file.
type noteFile struct {
	note     lavrelease.Note
	document *lavjson.Document
}

// readNote reads a release note from a file. If the file is invalid, the error is of
// type lavjson.Faults.
func readNote(name string) (*noteFile, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	n := &noteFile{}
	if n.document, err = lavjson.Parse(name, text); err != nil {
		return nil, err
	}
	if err := n.document.Decode(&n.note); err != nil {
		return nil, err
	}
	return n, nil
}

// faults converts problems of the note into faults with positions in its file.
func (n *noteFile) faults(problems []lavrelease.Problem) lavjson.Faults {
	faults := make(lavjson.Faults, 0, len(problems))
	for _, p := range problems {
		faults = append(faults, n.document.At(p.Path, p.String()))
	}
	return faults
}
