// Package lavmirror keeps a replica of the store's entries on a host.
//
// A mirror receives entries from the store and from peers, in any order. Each
// entry carries the revision that wrote it, and deletions are kept as
// tombstones. For each key the entry with the highest revision wins. Two
// mirrors that received the same entries are therefore equal, and late or
// repeated messages cannot replace an entry by an older one.
package lavmirror
