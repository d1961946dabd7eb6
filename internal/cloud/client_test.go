package cloud

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// newTestClient returns a client of an HTTP server that answers with the handler in place of the cloud.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"), 1000, (&net.Dialer{}).DialContext)
}

func TestScaleOutReturnsHostsOrError(t *testing.T) {
	for _, test := range []struct {
		name      string
		status    int
		body      string
		wantHosts int
		wantErr   error
	}{
		{"fewer machines than requested", 200, `{"hosts":["i-1","i-2"]}`, 2, nil},
		{"no capacity", 503, `{"error":"no capacity"}`, 0, ErrNoCapacity},
		{"outage", 503, `{"error":"trouble"}`, 0, ErrUnavailable},
		{"rate limit", 429, ``, 0, ErrUnavailable},
		{"incomplete response", 200, `{"hosts":["i-1"`, 0, ErrUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				want := `{"booking":"r-17","build":"g8","valley":"a","loaners":true,"howMany":3}`
				if r.Method != http.MethodPost || r.URL.Path != "/rentals" || string(body) != want {
					t.Errorf("request %s %s %s", r.Method, r.URL, body)
				}
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			})
			hosts, err := client.ScaleOut(t.Context(), ScaleOutRequest{IdempotencyKey: "r-17", MachineType: "g8", Zone: "a", Spot: true, Count: 3})
			if len(hosts) != test.wantHosts || !errors.Is(err, test.wantErr) {
				t.Errorf("hosts %v, error %v, want %d hosts, error %v", hosts, err, test.wantHosts, test.wantErr)
			}
		})
	}
}

// List reads all pages of the list. Each page begins after the last machine of the previous page.
func TestListReadsAllPages(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rentals" || r.URL.Query().Get("limit") != "500" {
			t.Errorf("request %s", r.URL)
		}
		next := map[string]int{"": 1, "i-1": 2, "i-2": 3}[r.URL.Query().Get("from")]
		_, _ = fmt.Fprintf(w, `{"hosts":[{"ref":"i-%d","status":"booting"}],"truncated":%t}`, next, next < 3)
	})
	machines, err := client.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(machines) != 3 || machines[2].Host != "i-3" || machines[2].Status != StatusBooting {
		t.Errorf("machines %+v", machines)
	}
}

func TestUnreachableCloudIsUnavailable(t *testing.T) {
	client := newTestClient(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if err := client.Release(t.Context(), []string{"i-1"}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v, want %v", err, ErrUnavailable)
	}
}
