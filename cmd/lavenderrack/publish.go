package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// publishCommand publishes a release note.
type publishCommand struct {
	output
	note  string
	store string
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish a release note" }
func (*publishCommand) Usage() string {
	return `publish -note FILE -store URL
  Publish a release note. Publishing the same note again is safe and has no
  further effect. The command prints one of these results:
    InForce   the note is published, now or before, as the printed version
    Conflict  another release was published first; no effect (exit code 3)
    Refused   the note is invalid; no effect (exit code 2)
    Failed    the store could not be used; no effect (exit code 1)
    Unknown   the note may have been published; publish it again to find out
              (exit code 4)

`
}

func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.note, "note", "", "release note `FILE`, JSON with comments")
	f.StringVar(&c.store, "store", "", "base `URL` of the key-value service")
	c.formatFlag(f)
}

// publishResult is the JSON output of publish.
type publishResult struct {
	Verdict string
	NoteID  string
	// Version is the release version that the note created, or zero.
	Version lavrelease.Version
	Message string `json:",omitempty"`
	// Head, Theirs and Both describe a conflict. Head is the newest version in
	// the store. Theirs are the edits published since the base version of this
	// note. Both are those of Theirs that change an item that this note changes
	// too.
	Head   lavrelease.Version `json:",omitempty"`
	Theirs []string           `json:",omitempty"`
	Both   []string           `json:",omitempty"`
	// Faults are the errors in a refused note.
	Faults []lavjson.Fault `json:",omitempty"`
}

func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usageError("publish: %v", err)
	}
	if c.note == "" || c.store == "" {
		return c.usageError("publish: want -note FILE and -store URL")
	}
	n, err := readNote(c.note)
	if err != nil {
		return c.fail(err, subcommands.ExitUsageError)
	}
	version, err := lavrelease.Publish(ctx, lavstore.NewHTTP(newClient(), c.store), &n.note)
	result := newPublishResult(n, version, err)
	if err := c.print(result, result.writeText); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return exitStatus(lavrelease.VerdictOf(err))
}

// exitStatus returns the exit code for a verdict.
func exitStatus(v lavrelease.Verdict) subcommands.ExitStatus {
	switch v {
	case lavrelease.VerdictInForce:
		return subcommands.ExitSuccess
	case lavrelease.VerdictConflict:
		return exitConflict
	case lavrelease.VerdictRefused:
		return subcommands.ExitUsageError
	case lavrelease.VerdictFailed:
		return subcommands.ExitFailure
	default:
		return exitUnknown
	}
}

func newPublishResult(n *noteFile, version lavrelease.Version, err error) *publishResult {
	r := &publishResult{Verdict: lavrelease.VerdictOf(err).String(), NoteID: n.note.ID, Version: version}
	if err == nil {
		return r
	}
	r.Message = err.Error()
	var refused *lavrelease.RefusedError
	if errors.As(err, &refused) {
		r.Faults = n.faults(refused.Problems)
	}
	var conflict *lavrelease.ConflictError
	if errors.As(err, &conflict) {
		r.Head = conflict.Head
		r.Theirs = editLines(conflict.Theirs)
		r.Both = editLines(conflict.Both)
	}
	return r
}

func editLines(edits []lavrelease.Edit) []string {
	var lines []string
	for _, e := range edits {
		lines = append(lines, e.String())
	}
	return lines
}

// writeText writes the result as text. It marks the edits in Both with "!".
func (r *publishResult) writeText(w io.Writer) error {
	if r.Message == "" {
		_, err := fmt.Fprintf(w, "%s: note %s is version %d\n", r.Verdict, r.NoteID, r.Version)
		return err
	}
	if len(r.Faults) > 0 {
		_, err := fmt.Fprintf(w, "%s: note %s\n%v\n", r.Verdict, r.NoteID, lavjson.Faults(r.Faults))
		return err
	}
	if _, err := fmt.Fprintf(w, "%s: %s\n", r.Verdict, r.Message); err != nil {
		return err
	}
	for _, line := range r.Theirs {
		marker := " "
		for _, both := range r.Both {
			if both == line {
				marker = "!"
			}
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", marker, line); err != nil {
			return err
		}
	}
	return nil
}
