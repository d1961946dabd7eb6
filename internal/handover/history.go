package handover

import (
	"slices"
	"strings"
	"time"

	"cherrywall/internal/tuning"
)

// Outcome is the progress or the result of a transfer, from the point of view of the controller that
// lists it. The texts are part of the administration API.
type Outcome string

// The outcomes of transfers.
const (
	OutcomePreparing   Outcome = "being prepared"             // old owner: the transfer waits for releases and moves of machines
	OutcomeSent        Outcome = "given, not taken yet"       // old owner: the recipient has not acquired the shard yet
	OutcomeTransferred Outcome = "handed over"                // old owner: the recipient has acquired the shard
	OutcomeReacquired  Outcome = "given in vain, taken again" // old owner: it acquired the shard again because the recipient did not
	OutcomeRequested   Outcome = "asked for"                  // recipient: it has requested the shard and waits for the payload
	OutcomeApplied     Outcome = "went on here"               // new owner: it has applied the payload
)

// Transfer describes a transfer that is under way or has ended, for operators.
type Transfer struct {
	Shard   string  `json:"share"`
	To      string  `json:"to"`
	Outcome Outcome `json:"outcome"`
	// DurationSeconds is the time up to now, or up to the end of the transfer. It begins with the
	// request for the shard or, at an old owner that has sent the payload, with that owner's last
	// response to the shard's workers.
	DurationSeconds float64   `json:"took_s"`
	EndedAt         time.Time `json:"-"`
	AgeSeconds      float64   `json:"ago_s"` // time since the end of the transfer
}

// recordEndedTransfer adds an ended transfer to endedTransfers, and drops the oldest entries beyond
// tuning.MaxListedNames.
func (c *Coordinator) recordEndedTransfer(shard, recipient string, outcome Outcome, startedAt, now time.Time) {
	c.endedTransfers = append(c.endedTransfers, Transfer{
		Shard:           shard,
		To:              recipient,
		Outcome:         outcome,
		DurationSeconds: now.Sub(startedAt).Seconds(),
		EndedAt:         now,
	})
	c.endedTransfers = c.endedTransfers[max(0, len(c.endedTransfers)-tuning.MaxListedNames):]
}

// Transfers lists the transfers under way, sorted by shard name, followed by the transfers that
// have ended recently, the latest first.
func (c *Coordinator) Transfers(now time.Time) []Transfer {
	list := []Transfer{}
	for id, outgoing := range c.outgoingTransfers {
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
	for _, transfer := range slices.Backward(c.endedTransfers) {
		transfer.AgeSeconds = now.Sub(transfer.EndedAt).Seconds()
		list = append(list, transfer)
	}
	return list
}
