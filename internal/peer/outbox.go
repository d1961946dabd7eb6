package peer

import "cherrywall/internal/tuning"

// Outbox queues transfer chunks, by recipient, until SendHeartbeats sends them. A nil chunk makes
// SendHeartbeats send a heartbeat immediately. Chunks are lost if the queue is full or there is no
// connection; the transfer then times out.
type Outbox map[string]chan *TransferChunk

// NewOutbox returns an empty outbox for the given recipients.
func NewOutbox(recipients ...string) Outbox {
	outbox := Outbox{}
	for _, recipient := range recipients {
		outbox[recipient] = make(chan *TransferChunk, tuning.MaxPendingTransferChunks)
	}
	return outbox
}

// Enqueue queues chunks without waiting, and reports whether there was room for all of them.
func (o Outbox) Enqueue(recipient string, chunks []*TransferChunk) bool {
	for _, chunk := range chunks {
		select {
		case o[recipient] <- chunk:
		default:
			return false
		}
	}
	return true
}
