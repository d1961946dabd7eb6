//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// listedAfterEnd is how long a machine that stopped is still listed as running.
const listedAfterEnd = 30 * time.Second

type listed struct {
	Ref     string  `json:"ref"`
	Addr    string  `json:"addr"`
	Build   string  `json:"build"`
	Valley  string  `json:"valley"`
	Loaners bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"ageS"`
}

func (w *World) typeNamed(name string) Type {
	for _, t := range w.Settings.Types {
		if t.Name == name {
			return t
		}
	}
	panic("no machine type " + name)
}

// rent adds a machine that is not up yet. The caller holds the lock.
func (w *World) rent(zone string, machineType Type, spot bool) *Machine {
	host := fmt.Sprintf("i-%06d", len(w.names)+1)
	m := &Machine{world: w, Host: host, Type: machineType, Zone: zone, Spot: spot, rentedAt: time.Now(), watch: 1,
		tasks: map[string]*task{}, images: map[string]bool{}, fetching: map[string]time.Time{}, wake: make(chan struct{}, 1)}
	w.machines[host] = m
	w.names = append(w.names, host)
	return m
}

// snapshot keeps the machine list of this moment, for its lag.
func (w *World) snapshot(now time.Time) {
	if n := len(w.snapshots); n > 0 && now.Sub(w.snapshots[n-1].at) < 250*time.Millisecond {
		return
	}
	s := snapshot{at: now}
	for _, host := range w.names {
		m := w.machines[host]
		if m.deleted {
			continue
		}
		status := "running"
		switch {
		case m.gone && now.Sub(m.endedAt) > listedAfterEnd:
			status = "failed"
		case !m.up:
			status = "booting"
		}
		s.rows = append(s.rows, listed{host, m.addr, m.Type.Name, m.Zone, m.Spot, status, now.Sub(m.rentedAt).Seconds()})
	}
	w.snapshots = append(w.snapshots, s)
	lag := time.Duration(w.Settings.ListLagS * float64(time.Second))
	for len(w.snapshots) > 1 && now.Sub(w.snapshots[1].at) >= lag {
		w.snapshots = w.snapshots[1:]
	}
}

// CloudHandler serves the cloud.
func (w *World) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", w.flavors)
	mux.HandleFunc("GET /rentals", w.list)
	mux.HandleFunc("POST /rentals", w.rentals)
	mux.HandleFunc("POST /rentals/release", w.release)
	return mux
}

func (w *World) flavors(rw http.ResponseWriter, _ *http.Request) {
	builds := []map[string]any{}
	for _, t := range w.Settings.Types {
		builds = append(builds, map[string]any{"sku": t.Name, "vcpus": t.CPUs, "cards": 0.0, "ramGb": t.RAM, "cacheGb": t.CacheGB,
			"fetchGbPerS": t.FetchGBPerS, "hourly": t.Price, "marketPrice": t.Spot, "startupS": t.BootS, "valleys": t.Zones})
	}
	reply(rw, http.StatusOK, map[string]any{"builds": builds})
}

func (w *World) list(rw http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts, truncated := []listed{}, false
	if len(w.snapshots) > 0 {
		for _, l := range w.snapshots[0].rows {
			if l.Ref > from {
				if len(hosts) == limit {
					truncated = true
					break
				}
				hosts = append(hosts, l)
			}
		}
	}
	reply(rw, http.StatusOK, map[string]any{"hosts": hosts, "truncated": truncated})
}

func (w *World) rentals(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		Booking string `json:"booking"`
		Build   string `json:"build"`
		Valley  string `json:"valley"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"howMany"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Booking == "" || request.HowMany < 1 || request.HowMany > 50 {
		fail(rw, http.StatusBadRequest, "malformed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if hosts := w.bookings[request.Booking]; len(hosts) > 0 {
		reply(rw, http.StatusOK, map[string]any{"hosts": hosts})
		return
	}
	machineType, hosts := w.typeNamed(request.Build), []string{}
	for range request.HowMany {
		if machineType.CapacityByZone[request.Valley] <= 0 {
			break
		}
		machineType.CapacityByZone[request.Valley]--
		m := w.rent(request.Valley, machineType, request.Loaners)
		hosts = append(hosts, m.Host)
		time.AfterFunc(machineType.BootsAfter, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			m.start()
		})
	}
	w.Logf("cloud: %d machines of %s in %s (spot %v) asked for, %d rented", request.HowMany, request.Build, request.Valley, request.Loaners, len(hosts))
	if len(hosts) == 0 {
		fail(rw, http.StatusServiceUnavailable, "no capacity")
		return
	}
	w.bookings[request.Booking] = hosts
	reply(rw, http.StatusOK, map[string]any{"hosts": hosts})
}

func (w *World) release(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hosts) > 100 {
		fail(rw, http.StatusBadRequest, "malformed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Logf("cloud: release of %v", request.Hosts)
	for _, host := range request.Hosts {
		if m := w.machines[host]; m != nil {
			m.end()
			m.deleted = true
		}
	}
	reply(rw, http.StatusOK, map[string]any{})
}
