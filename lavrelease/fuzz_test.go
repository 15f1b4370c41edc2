package lavrelease_test

import (
	"context"
	"encoding/json"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// FuzzCheck passes arbitrary notes to Check. A note without problems can be
// published, and publishing it again returns the same version.
func FuzzCheck(f *testing.F) {
	first := firstNote()
	for _, n := range []lavrelease.Note{first, addModel(1, "review"), changeModel(1, "x", "caption"), {}} {
		text, err := json.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Add([]byte(`{"ID":"x","Base":1,"Withdraw":{"FailureDomains":["north","north"],"Hosts":["rack-1"]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var n lavrelease.Note
		if json.Unmarshal(text, &n) != nil {
			return
		}
		s := lavfake.NewStore()
		publish(t, s, first)
		state, err := lavrelease.Load(t.Context(), s)
		lavassert.NoError(t, err)
		n.Base = 1
		if len(lavrelease.Check(state, &n)) > 0 || n.ID == first.ID {
			return
		}
		lavassert.Equal(t, "version", publish(t, s, n), 2)
		lavassert.Equal(t, "version when published again", publish(t, s, n), 2)
		after, err := lavrelease.Load(t.Context(), s)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "note", after.NoteID, n.ID)
	})
}

// FuzzHear passes arbitrary announcements and pull responses to a follower and
// checks that its version does not change.
func FuzzHear(f *testing.F) {
	f.Add(uint64(2), "digest", []byte(`{"ID":"x"}`), 1, 3)
	f.Add(uint64(0), "", []byte(`{`), -1, 0)
	f.Add(uint64(1<<63), "d", []byte{}, 1<<30, 1<<31)
	f.Fuzz(func(t *testing.T, version uint64, digest string, text []byte, part, parts int) {
		follower := lavrelease.NewFollower(lavfake.NewStore())
		follower.Adopt(t.Context(), firstState(t))
		v := lavrelease.Version(version)
		follower.HandleAnnouncement(t.Context(), lavrelease.Announcement{Version: v, Digest: digest, Note: text})
		_ = follower.Pull(t.Context(), func(context.Context, lavrelease.PullRequest) (lavrelease.PullResponse, error) {
			return lavrelease.PullResponse{Version: v, Digest: digest, Text: text, PartIndex: part, PartCount: parts}, nil
		})
		_ = follower.Pull(t.Context(), func(context.Context, lavrelease.PullRequest) (lavrelease.PullResponse, error) {
			return lavrelease.PullResponse{Version: v, Digest: digest, Notes: [][]byte{text}}, nil
		})
		follower.AnswerPull(lavrelease.PullRequest{Have: lavrelease.HistoryEntry{Version: v}, Digest: digest, PartIndex: part})
		lavassert.Equal(t, "version", follower.State().Version, 1)
	})
}
