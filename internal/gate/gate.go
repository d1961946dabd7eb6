// Package gate tells whether all controllers run a program that knows what this one knows.
// Until each of them, the dead ones too, has said so in a durable record, nothing may be
// written that the version before could not carry. It is no question of who lives: a dead
// controller may come back as it was.
package gate

import (
	"encoding/json"
	"fmt"
	"slices"

	"cherrywall/internal/state"
)

// Version is what this program can read and write: 2 knows dependent jobs and records in
// parts. The programs before it leave no mark.
const Version = 2

// Gate has no locks: one actor owns it.
type Gate struct {
	me    string
	names []string
	marks map[string]mark
}

type mark struct {
	Version int `json:"v"`
	stamp   uint64
}

// Mark is what a controller writes of itself.
func Mark() json.RawMessage { return state.Encode(mark{Version: Version}) }

// New makes a gate of a controller among all of them.
func New(me string, names []string) *Gate {
	g := &Gate{me: me, names: slices.Sorted(slices.Values(names))}
	g.Reset()
	return g
}

// Reset forgets all records, to be read anew.
func (g *Gate) Reset() { g.marks = map[string]mark{} }

// Recorded follows a controller's mark.
func (g *Gate) Recorded(node string, value json.RawMessage, stamp uint64) error {
	if g.marks[node].stamp >= stamp {
		return nil
	}
	m := mark{stamp: stamp}
	if err := json.Unmarshal(value, &m); err != nil {
		return fmt.Errorf("version of %s: %w", node, err)
	}
	g.marks[node] = m
	return nil
}

// Due tells whether this controller's mark is still to be written, and its stamp.
func (g *Gate) Due() (stamp uint64, due bool) {
	m := g.marks[g.me]
	return m.stamp, m.Version < Version
}

// Open tells whether every controller has said that it knows what this one knows.
func (g *Gate) Open() bool { return len(g.Awaited()) == 0 }

// Awaited are the controllers that have not.
func (g *Gate) Awaited() []string {
	var out []string
	for _, n := range g.names {
		if g.marks[n].Version < Version {
			out = append(out, n)
		}
	}
	return out
}

// VersionOf is a controller's, 1 if it left no mark.
func (g *Gate) VersionOf(node string) int { return max(1, g.marks[node].Version) }
