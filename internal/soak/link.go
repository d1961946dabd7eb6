package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cherrywall/internal/kvstore"
)

// link carries the HTTP messages between two parties, and delays, holds, cuts, drops and reorders them. It
// is used from both sides: as a handler in front of a stand-in's server, and as the transport of a
// stand-in's client. It is safe for concurrent use.
type link struct {
	ctx context.Context // of the run

	mu       sync.Mutex
	rnd      *rand.Rand
	isCut    bool          // messages are dropped
	released chan struct{} // not nil: messages are held until it is closed
	loss     float64       // share of the messages that are dropped, late, or not answered
	delay    time.Duration // upper bound of the delay of each message
}

// fate is what happens to a request.
type fate struct {
	isDropped  bool            // it never arrives
	isLate     bool            // it arrives after the delay, when the sender has given up
	isSilenced bool            // it arrives, and the answer is lost
	delay      time.Duration   // before it arrives
	heldUntil  <-chan struct{} // it arrives when this is closed; nil for at once
}

// Range of how late a message is that its sender has given up.
const (
	minLateness = 2 * time.Second
	maxLateness = 9 * time.Second
)

var errLost = errors.New("message lost")

func newLink(ctx context.Context, seed uint64, name string) *link {
	nameSeed := uint64(0)
	for _, char := range name {
		nameSeed = nameSeed*31 + uint64(char)
	}
	return &link{ctx: ctx, rnd: rand.New(rand.NewPCG(seed, nameSeed))}
}

// SetCut cuts the link or restores it.
func (l *link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
}

// Hold begins to hold messages, or delivers those that were held.
func (l *link) Hold(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.released == nil:
		l.released = make(chan struct{})
	case !on && l.released != nil:
		close(l.released)
		l.released = nil
	}
}

// SetLoss sets the share of messages that are lost, late, or not answered.
func (l *link) SetLoss(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = share
}

// SetDelay sets the upper bound of the delay of each message.
func (l *link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// draw decides the fate of a request.
func (l *link) draw() fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	drawn := fate{isDropped: l.isCut, heldUntil: l.released}
	if l.delay > 0 {
		drawn.delay = randomDuration(l.rnd, l.delay)
	}
	if l.loss > 0 && l.rnd.Float64() < l.loss {
		switch l.rnd.IntN(3) {
		case 0:
			drawn.isDropped = true
		case 1:
			drawn.isSilenced = true
		default:
			drawn.isLate = true
			drawn.delay = minLateness + randomDuration(l.rnd, maxLateness-minLateness)
		}
	}
	return drawn
}

// outlivesSender reports whether a request arrives even if its sender has given up.
func (f fate) outlivesSender() bool { return f.isLate || f.heldUntil != nil }

// await waits until a request arrives.
func (l *link) await(drawn fate) error {
	if drawn.heldUntil != nil {
		select {
		case <-drawn.heldUntil:
		case <-l.ctx.Done():
			return errLost
		}
	}
	if drawn.delay <= 0 {
		return l.ctx.Err()
	}
	return kvstore.Sleep(l.ctx, drawn.delay)
}

// Wrap returns a handler that passes on to another one what the link lets through.
func (l *link) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, request *http.Request) {
		drawn := l.draw()
		body, err := io.ReadAll(request.Body)
		switch {
		case err != nil || drawn.isDropped:
			waitForSender(request.Context(), l.ctx)
			panic(http.ErrAbortHandler)
		case drawn.outlivesSender():
			l.deliverLate(next, request, body, drawn, rw)
			return
		}
		if l.await(drawn) != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if drawn.isSilenced {
			next.ServeHTTP(&discardingWriter{header: http.Header{}}, request.WithContext(l.ctx)) //nolint:contextcheck // the request is executed whether or not its sender waits
			waitForSender(request.Context(), l.ctx)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(rw, request)
	})
}

// deliverLate delivers a request when its time comes, whether or not its sender still waits. The answer
// reaches a sender that does, unless the request is one that is answered no more.
func (l *link) deliverLate(next http.Handler, request *http.Request, body []byte, drawn fate, rw http.ResponseWriter) {
	late := request.Clone(l.ctx) //nolint:contextcheck // it is executed whether or not its sender waits
	late.Body = io.NopCloser(bytes.NewReader(body))
	answer := &discardingWriter{header: http.Header{}}
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		defer func() { _ = recover() }() // the handler may abort its answer
		if l.await(drawn) == nil {
			next.ServeHTTP(answer, late)
		}
	}()
	select {
	case <-delivered:
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	case <-l.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if drawn.isLate || answer.status == 0 {
		panic(http.ErrAbortHandler)
	}
	answer.copyTo(rw)
}

// waitForSender waits until the sender of a request has given up, or the run ends.
func waitForSender(sender, run context.Context) {
	select {
	case <-sender.Done():
	case <-run.Done():
	}
}

// discardingWriter keeps an answer that may not be sent.
type discardingWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *discardingWriter) Header() http.Header { return w.header }

func (w *discardingWriter) WriteHeader(status int) { w.status = status }

func (w *discardingWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.body.Write(data)
}

func (w *discardingWriter) copyTo(rw http.ResponseWriter) {
	for key, values := range w.header {
		rw.Header()[key] = values
	}
	rw.WriteHeader(w.status)
	_, _ = rw.Write(w.body.Bytes())
}

// RoundTrip sends a request through the link by http.DefaultTransport's like.
func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	drawn := l.draw()
	if drawn.isDropped {
		waitForSender(request.Context(), l.ctx)
		return nil, errLost
	}
	if drawn.outlivesSender() {
		return l.sendLate(request, drawn)
	}
	if err := l.await(drawn); err != nil {
		return nil, err
	}
	return l.send(request, drawn)
}

// send sends a request now. If the link silences it, the answer is lost.
func (l *link) send(request *http.Request, drawn fate) (*http.Response, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	if !drawn.isSilenced {
		return response, nil
	}
	_ = response.Body.Close()
	waitForSender(request.Context(), l.ctx)
	return nil, errLost
}

// sendLate sends a request when its time comes, even if its sender has given up.
func (l *link) sendLate(request *http.Request, drawn fate) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	late := request.Clone(l.ctx) //nolint:contextcheck // it is executed whether or not its sender waits
	late.Body = io.NopCloser(bytes.NewReader(body))
	answers := make(chan *http.Response, 1)
	go func() {
		if l.await(drawn) != nil {
			return
		}
		response, err := transport.RoundTrip(late)
		if err != nil {
			return
		}
		if drawn.isLate || request.Context().Err() != nil {
			_ = response.Body.Close()
			return
		}
		answers <- response
	}()
	select {
	case response := <-answers:
		return response, nil
	case <-request.Context().Done():
		return nil, errLost
	case <-l.ctx.Done():
		return nil, errLost
	}
}

// transport carries all requests of the stand-ins. A controller that was killed refuses connections, so
// idle ones are not worth much.
var transport = &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 30 * time.Second}
