package fserv

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/timer"
)

// Guards against wrong effect counts, by which other tests detect duplicate calls:
// effects are counted by key, and a call whose connection was closed is counted only
// if DropAfter closed it.
func TestEffectsAndFaults(t *testing.T) {
	is := is.New(t)
	s := New(timer.System{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	book := func(key string) (int, error) {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/bookings", strings.NewReader("{}"))
		is.NoErr(err)
		req.Header.Set(KeyHeader, key)
		resp, err := (&http.Client{Timeout: time.Second}).Do(req)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	status, err := book("a")
	is.NoErr(err)
	is.Equal(status, http.StatusCreated)
	for _, f := range []struct{ faults, key string }{
		{`{"DropBefore":true}`, "before"}, {`{"DropAfter":true}`, "after"}, {`{"Hang":true}`, "hang"},
	} {
		req, err := http.NewRequest(http.MethodPut, server.URL+"/faults", strings.NewReader(f.faults))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		_, err = book(f.key)
		is.True(err != nil)
	}
	s.SetFaults(Faults{DropAfter: true, Drops: 1})
	_, err = book("twice")
	is.True(err != nil)
	_, err = book("twice")
	is.NoErr(err)
	resp, err := http.Get(server.URL + "/effects")
	is.NoErr(err)
	effects := map[string]int{}
	is.NoErr(json.NewDecoder(resp.Body).Decode(&effects))
	is.NoErr(resp.Body.Close())
	is.Equal(effects, map[string]int{"a": 1, "after": 1, "hang": 1, "twice": 2})
	resp, err = http.Get(server.URL + "/stock/1")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(s.Reads(), 1)
}
