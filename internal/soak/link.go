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

// link carries the HTTP messages between two parties, and may delay, hold, drop and reorder them. Wrap puts
// the link in front of a fake server, and RoundTrip lets a fake client use the link as its transport. A link
// is safe for concurrent use.
type link struct {
	ctx context.Context // ends with the run

	mu            sync.Mutex
	rnd           *rand.Rand
	isCut         bool          // all messages are dropped
	releaseSignal chan struct{} // nil unless messages are held; closed to deliver them
	lossShare     float64       // share of the requests, from 0 to 1, that are dropped, late, or lose their response
	delay         time.Duration // upper bound of the random delay of each request
}

// deliveryPlan says whether, when and how the link delivers one request.
type deliveryPlan struct {
	isDropped      bool            // the request never arrives
	isLate         bool            // the request arrives after the delay even if its sender has given up; the sender gets no response
	isResponseLost bool            // the request arrives, but its response is lost
	delay          time.Duration   // time until the request arrives
	releaseSignal  <-chan struct{} // closed to deliver the request; nil if the request is not held
}

// Range of the delay of a late request. A late request should arrive after its sender has given up.
const (
	minLateness = 2 * time.Second
	maxLateness = 9 * time.Second
)

// errLost is returned to a sender whose request or response the link lost.
var errLost = errors.New("message lost")

func newLink(ctx context.Context, seed uint64, name string) *link {
	nameSeed := uint64(0)
	for _, char := range name {
		nameSeed = nameSeed*31 + uint64(char)
	}
	return &link{ctx: ctx, rnd: rand.New(rand.NewPCG(seed, nameSeed))}
}

// SetCut cuts the link, or restores it. A cut link drops all messages.
func (l *link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
}

// SetHeld makes the link hold messages if on is true. Otherwise it delivers the held messages and
// ends the hold.
func (l *link) SetHeld(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.releaseSignal == nil:
		l.releaseSignal = make(chan struct{})
	case !on && l.releaseSignal != nil:
		close(l.releaseSignal)
		l.releaseSignal = nil
	}
}

// SetLoss sets the share of requests, from 0 to 1, that are lost, late, or lose their response.
func (l *link) SetLoss(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lossShare = share
}

// SetDelay sets the upper bound of the random delay of each request.
func (l *link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// planDelivery decides at random, by the current faults of the link, how a request is delivered.
func (l *link) planDelivery() deliveryPlan {
	l.mu.Lock()
	defer l.mu.Unlock()
	plan := deliveryPlan{isDropped: l.isCut, releaseSignal: l.releaseSignal}
	if l.delay > 0 {
		plan.delay = randomDuration(l.rnd, l.delay)
	}
	if l.lossShare > 0 && l.rnd.Float64() < l.lossShare {
		switch l.rnd.IntN(3) {
		case 0:
			plan.isDropped = true
		case 1:
			plan.isResponseLost = true
		default:
			plan.isLate = true
			plan.delay = minLateness + randomDuration(l.rnd, maxLateness-minLateness)
		}
	}
	return plan
}

// ignoresSenderTimeout reports whether the request is delivered even if its sender has given up.
func (p deliveryPlan) ignoresSenderTimeout() bool { return p.isLate || p.releaseSignal != nil }

// waitForDelivery waits until the time at which a request arrives. It returns an error if the run
// ends first.
func (l *link) waitForDelivery(plan deliveryPlan) error {
	if plan.releaseSignal != nil {
		select {
		case <-plan.releaseSignal:
		case <-l.ctx.Done():
			return errLost
		}
	}
	if plan.delay <= 0 {
		return l.ctx.Err()
	}
	return kvstore.Sleep(l.ctx, plan.delay)
}

// Wrap returns a handler that passes requests on to next as the link's faults permit. If a fault prevents the
// response, the handler panics with http.ErrAbortHandler. If the request is dropped or its response is lost,
// the handler panics only when the sender has given up or the run ends.
func (l *link) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, request *http.Request) {
		plan := l.planDelivery()
		body, err := io.ReadAll(request.Body)
		switch {
		case err != nil || plan.isDropped:
			waitUntilAbandoned(request.Context(), l.ctx)
			panic(http.ErrAbortHandler)
		case plan.ignoresSenderTimeout():
			l.deliverLate(next, request, body, plan, rw)
			return
		}
		if l.waitForDelivery(plan) != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if plan.isResponseLost {
			next.ServeHTTP(&bufferingWriter{header: http.Header{}}, request.WithContext(l.ctx)) //nolint:contextcheck // the request is executed whether or not its sender waits
			waitUntilAbandoned(request.Context(), l.ctx)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(rw, request)
	})
}

// deliverLate delivers a request when its delay or its hold ends, whether or not its sender still waits. A
// sender that still waits gets the response, unless the plan says that the request is late.
func (l *link) deliverLate(next http.Handler, request *http.Request, body []byte, plan deliveryPlan, rw http.ResponseWriter) {
	lateRequest := request.Clone(l.ctx) //nolint:contextcheck // it is executed whether or not its sender waits
	lateRequest.Body = io.NopCloser(bytes.NewReader(body))
	bufferedResponse := &bufferingWriter{header: http.Header{}}
	deliverySignal := make(chan struct{})
	go func() {
		defer close(deliverySignal)
		defer func() { _ = recover() }() // the handler may panic to abort its response
		if l.waitForDelivery(plan) == nil {
			next.ServeHTTP(bufferedResponse, lateRequest)
		}
	}()
	select {
	case <-deliverySignal:
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	case <-l.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if plan.isLate || bufferedResponse.status == 0 {
		panic(http.ErrAbortHandler)
	}
	bufferedResponse.copyTo(rw)
}

// waitUntilAbandoned waits until the sender of a request has given up, or the run ends. senderCtx is the
// context of the request.
func waitUntilAbandoned(senderCtx, runCtx context.Context) {
	select {
	case <-senderCtx.Done():
	case <-runCtx.Done():
	}
}

// bufferingWriter is an http.ResponseWriter that buffers the response, so that it can be sent later or
// discarded.
type bufferingWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *bufferingWriter) Header() http.Header { return w.header }

func (w *bufferingWriter) WriteHeader(status int) { w.status = status }

func (w *bufferingWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.body.Write(data)
}

func (w *bufferingWriter) copyTo(rw http.ResponseWriter) {
	for key, values := range w.header {
		rw.Header()[key] = values
	}
	rw.WriteHeader(w.status)
	_, _ = rw.Write(w.body.Bytes())
}

// RoundTrip sends a request over the link. It implements http.RoundTripper. If a fault prevents the
// response, RoundTrip returns an error, but only when the sender has given up or the run ends.
func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	plan := l.planDelivery()
	if plan.isDropped {
		waitUntilAbandoned(request.Context(), l.ctx)
		return nil, errLost
	}
	if plan.ignoresSenderTimeout() {
		return l.sendLate(request, plan)
	}
	if err := l.waitForDelivery(plan); err != nil {
		return nil, err
	}
	return l.send(request, plan)
}

// send sends a request at once. If the plan says so, the response is lost.
func (l *link) send(request *http.Request, plan deliveryPlan) (*http.Response, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	if !plan.isResponseLost {
		return response, nil
	}
	_ = response.Body.Close()
	waitUntilAbandoned(request.Context(), l.ctx)
	return nil, errLost
}

// sendLate sends a request when its delay or its hold ends, even if its sender has given up. A sender that
// still waits gets the response, unless the plan says that the request is late.
func (l *link) sendLate(request *http.Request, plan deliveryPlan) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	lateRequest := request.Clone(l.ctx) //nolint:contextcheck // it is executed whether or not its sender waits
	lateRequest.Body = io.NopCloser(bytes.NewReader(body))
	responses := make(chan *http.Response, 1)
	go func() {
		if l.waitForDelivery(plan) != nil {
			return
		}
		response, err := transport.RoundTrip(lateRequest)
		if err != nil {
			return
		}
		if plan.isLate || request.Context().Err() != nil {
			_ = response.Body.Close()
			return
		}
		responses <- response
	}()
	select {
	case response := <-responses:
		return response, nil
	case <-request.Context().Done():
		return nil, errLost
	case <-l.ctx.Done():
		return nil, errLost
	}
}

// transport sends the requests of all links. It keeps idle connections only for a short time, since a
// connection is of no use once its controller was killed.
var transport = &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 30 * time.Second}
