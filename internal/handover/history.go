package handover

import (
	"slices"
	"strings"
	"time"

	"cherrywall/internal/tuning"
)

// Outcome is how far a transfer has come, or how it ended, as the controller that lists it sees
// it. The texts are part of the administration API.
type Outcome string

// The outcomes of transfers.
const (
	OutcomePreparing   Outcome = "being prepared"             // old owner: waits for releases and moves of machines
	OutcomeSent        Outcome = "given, not taken yet"       // old owner
	OutcomeTransferred Outcome = "handed over"                // old owner
	OutcomeReacquired  Outcome = "given in vain, taken again" // old owner: the recipient did not acquire the shard
	OutcomeRequested   Outcome = "asked for"                  // recipient
	OutcomeContinued   Outcome = "went on here"               // recipient
)

// Transfer describes a transfer that is under way or has ended, for operators.
type Transfer struct {
	Shard   string  `json:"share"`
	To      string  `json:"to"`
	Outcome Outcome `json:"outcome"`
	// DurationSeconds counts from the old owner's last response to the shard's workers, or from
	// the recipient's request.
	DurationSeconds float64   `json:"took_s"`
	EndedAt         time.Time `json:"-"`
	AgeSeconds      float64   `json:"ago_s"` // since its end
}

// record adds a transfer that has ended to the history.
func (c *Coordinator) record(shard, to string, outcome Outcome, since, now time.Time) {
	c.history = append(c.history, Transfer{
		Shard:           shard,
		To:              to,
		Outcome:         outcome,
		DurationSeconds: now.Sub(since).Seconds(),
		EndedAt:         now,
	})
	c.history = c.history[max(0, len(c.history)-tuning.MaxListedNames):]
}

// Transfers lists the transfers under way, in the order of the shards' names, and then the last
// ones that have ended, the latest first.
func (c *Coordinator) Transfers(now time.Time) []Transfer {
	list := []Transfer{}
	for id, outgoing := range c.outgoing {
		transfer := Transfer{Shard: id, To: outgoing.recipient, Outcome: OutcomePreparing,
			DurationSeconds: now.Sub(outgoing.requestedAt).Seconds()}
		if outgoing.isSent() {
			transfer.Outcome = OutcomeSent
			transfer.DurationSeconds = now.Sub(outgoing.sentAt).Seconds()
		}
		list = append(list, transfer)
	}
	for _, id := range c.RequestedShards(now) {
		list = append(list, Transfer{Shard: id, To: c.cfg.Node, Outcome: OutcomeRequested,
			DurationSeconds: now.Sub(c.requestedAt[id]).Seconds()})
	}
	slices.SortFunc(list, func(a, b Transfer) int { return strings.Compare(a.Shard, b.Shard) })
	for _, transfer := range slices.Backward(c.history) {
		transfer.AgeSeconds = now.Sub(transfer.EndedAt).Seconds()
		list = append(list, transfer)
	}
	return list
}
