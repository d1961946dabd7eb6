package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/tuning"
)

// Trouble is something that lasts and that operators want to know by name: a machine that does not
// hear, a controller that is cut off, a job that waits for long.
type Trouble struct {
	Kind   string  `json:"kind"` // machine, controller, job
	Name   string  `json:"name"`
	SinceS float64 `json:"since_s"`
	Why    string  `json:"why"`
}

// Why a controller is cut off, as the one that is asked sees it.
const (
	cutFromState = "the state service does not answer it"
	cutFromBoth  = "neither the state service nor another controller answers it"
	notHeard     = "its grant runs, and it is not heard here"
)

// notReached is why a job waits of which no round of decisions here has said more.
const notReached = "others go first, or there is no room for a task of it"

// troubles are those known here: of the machines of its own shares, of all controllers, and the
// jobs of which no task has begun for the longest time, at least a moment.
func (a *Actor) troubles(now time.Time) []Trouble {
	out := []Trouble{}
	for _, m := range a.books.Held() {
		since := m.When().Deaf
		if a.sessions.ToldInVain(m) {
			since = a.books.Holds(m).Since()
		} else if !m.Is().Deaf {
			continue
		}
		out = append(out, Trouble{"machine", m.Host(), now.Sub(since).Seconds(), "its reports come, but what is said to it does not arrive"})
	}
	for _, n := range a.holders.Names() {
		if since, why := a.cutOff(n, now); why != "" {
			out = append(out, Trouble{"controller", n, since.Seconds(), why})
		}
	}
	slices.SortFunc(out, longest)
	var waiting []Trouble
	for j := range a.books.Jobs() {
		if j.Over() || j.Dead() || j.Waits() || j.Age(now) < tuning.WaitsNamed {
			continue
		}
		why := a.why(j)
		if why == "" {
			continue
		}
		waiting = append(waiting, Trouble{"job", j.Ref(), j.Age(now).Seconds(), why})
	}
	slices.SortFunc(waiting, longest)
	return append(out, waiting[:min(len(waiting), tuning.NamesShown)]...)
}

// why tells what an unfinished job that waits for no other waits for, of which no task is known to have begun; empty if one
// has, or if its part is another controller's to tell of.
func (a *Actor) why(j *books.Job) string {
	unknown, ready, claimed := 0, 0, false
	for r := range j.Ranges() {
		if r.Done() > 0 || r.Count(books.Placed) > 0 {
			return ""
		}
		claimed = claimed || !r.Tentative()
		unknown, ready = unknown+r.Count(books.Unknown), ready+r.Count(books.Ready)
	}
	why := a.decider.Why(j)
	switch {
	case j.Rec().Completed > 0:
		return ""
	case unknown > 0:
		return fmt.Sprintf("%d tasks may be on machines that can't be asked", unknown)
	case claimed && ready == 0:
		return ""
	case why == "" && claimed:
		return "its tasks are claimed, and there is no room for one of them here"
	case why == "":
		return notReached
	}
	return why
}

func longest(x, y Trouble) int {
	return cmp.Or(cmp.Compare(y.SinceS, x.SinceS), cmp.Compare(x.Name, y.Name))
}

// cutOff tells since when and from what a controller is cut off, as far as can be seen here.
func (a *Actor) cutOff(node string, now time.Time) (since time.Duration, why string) {
	silent := now.Sub(a.mirror.Contact())
	if node == a.cfg.Node {
		switch {
		case silent < tuning.HealthGrace:
		case !a.others.Hears(now) && len(a.holders.Names()) > 1:
			return silent, cutFromBoth
		default:
			return silent, cutFromState
		}
		return 0, ""
	}
	b, age, heard := a.others.Last(node, now)
	switch {
	case heard && age < tuning.PeerIdle:
		if gone := b.Silent + age; gone >= tuning.HealthGrace {
			return gone, cutFromState
		}
	case heard && a.holders.IsLive(node, 0) && silent < tuning.HealthGrace:
		return age, notHeard
	}
	return 0, ""
}

// tellTroubles logs what lasts, now and then.
func (a *Actor) tellTroubles(now time.Time) {
	if now.Sub(a.toldTroubles) < tuning.TroublesTold {
		return
	}
	a.toldTroubles = now
	for _, x := range a.troubles(now) {
		if x.Kind == "job" && x.SinceS < tuning.OverdueAfter.Seconds() {
			continue // behind others in an ordinary queue
		}
		a.log.Info("trouble", "kind", x.Kind, "name", x.Name, "since_s", x.SinceS, "why", x.Why)
	}
}
