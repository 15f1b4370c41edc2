// Package lavmirror keeps a host's copy of the store's entries.
//
// The copy is fed by the store and by peers, in any order. Each entry has the
// revision that wrote it, and a removal is an entry too; for each key the higher
// revision wins. Two copies that have seen the same entries are equal, and no
// way of hearing takes a copy back.
package lavmirror
