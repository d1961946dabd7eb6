package fake

import (
	"net/http"

	"cherrywall/internal/cloud"
	"cherrywall/internal/fake/httpjson"
)

// Request and response bodies of the cloud's HTTP protocol.
type (
	machineTypesResponse struct {
		MachineTypes []cloud.MachineType `json:"builds"`
	}
	scaleOutResponse struct {
		Hosts []string `json:"hosts"`
	}
	releaseRequest struct {
		Hosts []string `json:"hosts"`
	}
	machinesResponse struct {
		Machines    []cloud.Machine `json:"hosts"`
		IsTruncated bool            `json:"truncated"`
	}
)

// StateHandler serves the key-value store over its HTTP protocol.
func (c *Cluster) StateHandler() http.Handler { return c.Store.Handler() }

// CloudHandler serves the cloud over its HTTP protocol.
func (c *Cluster) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(rw http.ResponseWriter, _ *http.Request) {
		httpjson.Write(rw, http.StatusOK, machineTypesResponse{c.OfferedTypes})
	})
	mux.HandleFunc("POST /rentals", c.handleScaleOut)
	mux.HandleFunc("POST /rentals/release", c.handleRelease)
	mux.HandleFunc("GET /rentals", c.handleList)
	return mux
}

func (c *Cluster) handleScaleOut(rw http.ResponseWriter, r *http.Request) {
	var request cloud.ScaleOutRequest
	if !httpjson.Read(rw, r, &request) {
		return
	}
	hosts, err := c.ScaleOut(r.Context(), request)
	if err != nil {
		httpjson.WriteError(rw, http.StatusServiceUnavailable, err.Error())
		return
	}
	httpjson.Write(rw, http.StatusOK, scaleOutResponse{hosts})
}

func (c *Cluster) handleRelease(rw http.ResponseWriter, r *http.Request) {
	var request releaseRequest
	if !httpjson.Read(rw, r, &request) {
		return
	}
	if err := c.Release(r.Context(), request.Hosts); err != nil {
		httpjson.WriteError(rw, http.StatusServiceUnavailable, err.Error())
		return
	}
	httpjson.Write(rw, http.StatusOK, struct{}{})
}

func (c *Cluster) handleList(rw http.ResponseWriter, r *http.Request) {
	machines, err := c.List(r.Context())
	if err != nil {
		httpjson.WriteError(rw, http.StatusServiceUnavailable, err.Error())
		return
	}
	response := machinesResponse{Machines: []cloud.Machine{}}
	for _, machine := range machines {
		if machine.Host > r.URL.Query().Get("from") {
			response.Machines = append(response.Machines, machine)
		}
	}
	httpjson.Write(rw, http.StatusOK, response)
}
