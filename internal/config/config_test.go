package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `
node = "n0"
zone = "a"
listen = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
surprise = "ignored"
[[others]]
node = "n1"
zone = "b"
addr = "127.0.0.1:3"
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[cluster]
nodes = 2
zones = ["a", "b"]
[cluster.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 30.0
[cluster.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 40
[cluster.cloud]
rps = 3.0
list_lag_s = 8.0
[cluster.limits]
mem_mb = 125.0
`

// loadSettings writes settings to a temporary file and loads them.
func loadSettings(t *testing.T, settings string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	return err
}

func TestErrorNamesInvalidField(t *testing.T) {
	if err := loadSettings(t, validSettings); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ original, replacement, field string }{
		{`node = "n0"`, ``, "node"}, {`listen = "127.0.0.1:1"`, `listen = "x"`, "listen"},
		{`rps = 150.0`, `rps = 0`, "cluster.state.rps"}, {`cancel_s = 30.0`, `cancel_s = 5.0`, "cluster.workers.cancel_s"},
		{`node = "n1"`, `node = "n0"`, "others[0].node"}, {`txn_ops = 40`, `txn_ops = "x"`, "txn_ops"},
		{`[outside]`, `[outside`, ""},
	} {
		err := loadSettings(t, strings.Replace(validSettings, c.original, c.replacement, 1))
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q -> %q: %v", c.original, c.replacement, err)
		}
	}
	if _, err := Load("/nowhere/x.toml"); err == nil {
		t.Error("a missing file was loaded")
	}
}
