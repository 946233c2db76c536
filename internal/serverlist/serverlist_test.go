package serverlist

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"tealledge/decide/addresses"
	"tealledge/policy"
)

var testNames = Names{Kinds: []string{"small", "big"}, Zones: []string{"a", "b"}}

func TestFileListIsParsedWithDefaultsAndErrors(t *testing.T) {
	list, err := parse("f", `(server 7 (address "h:1") (cell 3) (zone "b") (kind "big") (health draining) (size 2.5) (started 99))
(server 9 (address "h:2"))`, testNames)
	if err != nil || len(list) != 2 {
		t.Fatal(list, err)
	}
	want := Entry{policy.Entry{Server: 7, Zone: 1, Kind: 1, Cell: 3, Health: policy.Draining, Size: 2.5,
		Started: 99}, "h:1",
		[]addresses.Address{{Addr: "h:1", Family: addresses.IPv4}}, ""}
	if !reflect.DeepEqual(list[0], want) || list[1].Size != 1 || list[1].Health != policy.Ready {
		t.Fatalf("%+v", list)
	}
	for in, want := range map[string]string{
		`(server 0 (address "h:1"))`: "not a number from 1",
		`(server 1)`:                 "needs (address",
		`(server 1 (address "h:1")) (server 1 (address "h:1"))`: "listed twice",
		`(server 1 (address "h:1") (zone "c"))`:                 "not one of",
		`(server 1 (address "h:1") (health well))`:              "not ready, draining",
		`(server 1 (address "h:1") (started -4))`:               "not a time",
		`(server 1 (address "nowhere"))`:                        "neither HOST:PORT",
		`(host 1)`:                                              "want (server",
	} {
		if _, err := parse("f", in, testNames); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.HasPrefix(err.Error(), "f:1:") {
			t.Errorf("%s: %v", in, err)
		}
	}
}

func TestHealthFollowsConsulChecks(t *testing.T) {
	check := func(id, status string) *api.HealthCheck { return &api.HealthCheck{CheckID: id, Status: status} }
	for _, c := range []struct {
		checks api.HealthChecks
		want   policy.Health
	}{
		{nil, policy.Ready},
		{api.HealthChecks{check("a", "passing"), check("b", "warning")}, policy.Ready},
		{api.HealthChecks{check("a", "critical")}, policy.Removed},
		{api.HealthChecks{check("_service_maintenance:x", "critical"), check("a", "passing")}, policy.Draining},
		{api.HealthChecks{check("_node_maintenance", "critical")}, policy.Draining},
	} {
		if got := healthOf(c.checks); got != c.want {
			t.Errorf("%v: %d, want %d", c.checks, got, c.want)
		}
	}
}

func TestCacheRejectsTruncatedOrCorruptedFile(t *testing.T) {
	cache := Cache{Dir: filepath.Join(t.TempDir(), "deep", "state"), Names: testNames}
	if list, err := cache.Load(); list != nil || err != nil {
		t.Fatal("missing cache: want no list and no error, got", list, err)
	}
	want := []Entry{{policy.Entry{Server: 3, Cell: 2, Zone: 1, Kind: 1, Size: 1.25, Started: 5,
		Health: policy.Draining}, "h:3",
		[]addresses.Address{{Addr: "/run/x", Family: addresses.Unix}, {Addr: "h:3", Family: addresses.IPv4},
			{Addr: "[::1]:3", Family: addresses.IPv6}}, "h:80"}}
	if err := cache.Save(want); err != nil {
		t.Fatal(err)
	}
	if list, err := cache.Load(); err != nil || !reflect.DeepEqual(list, want) {
		t.Fatal(list, err)
	}
	whole, _ := os.ReadFile(cache.path())
	for cut := 0; cut < len(whole)-1; cut++ { // truncated at any byte
		os.WriteFile(cache.path(), whole[:cut], 0o644)
		if list, err := cache.Load(); err == nil {
			t.Fatalf("truncated at byte %d: accepted as %v", cut, list)
		}
	}
	for i := range whole[:len(whole)-1] { // one bit changed in any byte
		bad := append([]byte(nil), whole...)
		bad[i] ^= 4
		os.WriteFile(cache.path(), bad, 0o644)
		if list, err := cache.Load(); err == nil {
			t.Fatalf("byte %d changed: accepted as %v", i, list)
		}
	}
}

func TestFileSourceReturnsAfterFileChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.sexp")
	f := &File{path, testNames}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := f.Next(ctx, 0); err == nil {
		t.Fatal("missing file gave no error")
	}
	os.WriteFile(path, []byte(`(server 1 (address "h:1"))`), 0o644)
	a, err := f.Next(ctx, 0)
	if err != nil || len(a.Entries) != 1 {
		t.Fatal(a, err)
	}
	time.AfterFunc(50*time.Millisecond, func() { os.WriteFile(path, []byte(`(server 2 (address "h:1"))`), 0o644) })
	b, err := f.Next(ctx, a.Index)
	if err != nil || b.Index == a.Index || len(b.Entries) != 1 {
		t.Fatal(b, err)
	}
}
