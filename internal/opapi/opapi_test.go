package opapi

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
)

// Guards against invalid input that is accepted, or refused without the name of
// the field, and against answers to unauthorized requests that name an operator.
func TestBadRequests(t *testing.T) {
	platform := httptest.NewServer(fplat.New(timer.System{}))
	defer platform.Close()
	h := New(Options{
		Store:     store.New(plat.NewClient(platform.URL).Table),
		Operators: []Operator{{Name: "none", KeyHash: ""}, {Name: "asta", KeyHash: HashKey("key")}},
	})
	const service = `{"Kind":"Service","Name":"app","Spec":{"Rules":[]}}`
	for _, c := range []struct {
		name, method, path, key, change, body string
		status                                int
		field                                 string
	}{
		{"no key", "GET", "/v1/status", "", "", "", 401, ""},
		{"empty key", "GET", "/v1/status", "Bearer ", "", "", 401, ""},
		{"wrong key", "GET", "/v1/watch", "Bearer other", "", "", 401, ""},
		{"not a bearer", "GET", "/v1/status", "key", "", "", 401, ""},
		{"unknown path", "GET", "/v1/other", "Bearer key", "", "", 404, ""},
		{"unknown kind", "GET", "/v1/resources/Route", "Bearer key", "", "", 400, "Kind"},
		{"kind differs", "PUT", "/v1/resources/Model/app", "Bearer key", "", service, 400, "Kind"},
		{"name differs", "PUT", "/v1/resources/Service/other", "Bearer key", "", service, 400, "Name"},
		{"bad name", "PUT", "/v1/resources/Service/App", "Bearer key", "", strings.ReplaceAll(service, "app", "App"), 400, "Name"},
		{"bad field", "PUT", "/v1/resources/Service/app", "Bearer key", "", strings.ReplaceAll(service, "[]", `[{"Method":"get"}]`), 400, "Spec.Rules[0].Method"},
		{"bad duration", "PUT", "/v1/resources/Service/app", "Bearer key", "", strings.ReplaceAll(service, "[]", `[],"Timeout":"2 days"`), 400, "Spec.Timeout"},
		{"bad type", "PUT", "/v1/resources/Service/app", "Bearer key", "", strings.ReplaceAll(service, "[]", `{}`), 400, "Spec.Rules"},
		{"unknown field", "PUT", "/v1/resources/Service/app", "Bearer key", "", strings.ReplaceAll(service, "[]", `[],"Rate":1`), 400, "Spec.Rate"},
		{"bad change", "PUT", "/v1/resources/Service/app", "Bearer key", "a/b", service, 400, ChangeHeader},
		{"not JSON", "PUT", "/v1/resources/Service/app", "Bearer key", "", "{", 400, ""},
		{"too large", "PUT", "/v1/resources/Service/app", "Bearer key", "", strings.Repeat(" ", maxBodyBytes+1), 413, ""},
		{"no revision", "DELETE", "/v1/resources/Service/app", "Bearer key", "", "", 400, "Revision"},
		{"bad revision", "DELETE", "/v1/resources/Service/app?Revision=-1", "Bearer key", "", "", 400, "Revision"},
		{"bad limit", "GET", "/v1/audit?Limit=1001", "Bearer key", "", "", 400, "Limit"},
		{"bad since", "GET", "/v1/watch?Since=x", "Bearer key", "", "", 400, "Since"},
		{"good", "PUT", "/v1/resources/Service/app", "Bearer key", "change-1", service, 200, ""},
		{"repeated", "PUT", "/v1/resources/Service/app", "Bearer key", "change-1", service, 200, ""},
		{"by identifier", "GET", "/v1/audit?Change=change-1", "Bearer key", "", "", 200, ""},
		{"exists", "PUT", "/v1/resources/Service/app", "Bearer key", "change-2", service, 409, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(c.method, c.path, bytes.NewReader([]byte(c.body)))
			r.Header.Set("Authorization", c.key)
			r.Header.Set(ChangeHeader, c.change)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			if c.status == http.StatusOK {
				return
			}
			is.Equal(w.Header().Get(fault.Header), string(fault.NotRun))
			e := fault.ReadBody(w.Code, w.Body)
			is.Equal(e.Field, c.field)
			is.True(c.status != 401 || !strings.Contains(e.Detail, "asta"))
		})
	}
}
