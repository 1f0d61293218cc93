package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/serving"
)

// keyTable returns a table in which each key belongs to a tenant of the same name.
func keyTable(keys ...string) *serving.KeyTable {
	t := serving.NewKeyTable()
	for _, k := range keys {
		t.Add(k, tenantOf(k))
	}
	return t
}

// Guards against each way to admit a request without a valid key, or to refuse one for
// good that a newer configuration may admit. Ages are those of a router that was paused or
// cut off from the store.
func TestAuthenticate(t *testing.T) {
	const within, fresh = 5 * time.Second, 3 * time.Second
	limit := within - revokeMargin
	closed, public := &serving.Route{}, &serving.Route{Public: true}
	for name, tt := range map[string]struct {
		keys   *serving.KeyTable
		stored *serving.KeyTable
		route  *serving.Route
		key    string
		age    time.Duration
		// tenant is empty for none. Lax is the verdict without strict.
		tenant      string
		strict, lax authVerdict
	}{
		"no tenants":                      {nil, nil, closed, "", time.Hour, "", authAdmit, authAdmit},
		"no tenants, some key":            {nil, nil, closed, "a", time.Hour, "", authAdmit, authAdmit},
		"known":                           {keyTable("a"), nil, closed, "a", 0, "a", authAdmit, authAdmit},
		"known, just in time":             {keyTable("a"), nil, closed, "a", limit - 1, "a", authAdmit, authAdmit},
		"known, too old":                  {keyTable("a"), nil, closed, "a", limit, "a", authTooOld, authAdmit},
		"known, a day old":                {keyTable("a"), nil, closed, "a", 24 * time.Hour, "a", authTooOld, authAdmit},
		"unknown":                         {keyTable("a"), nil, closed, "b", fresh, "", authUnknownKey, authUnknownKey},
		"unknown, stale":                  {keyTable("a"), nil, closed, "b", fresh + 1, "", authStale, authStale},
		"unknown, a day old":              {keyTable("a"), nil, closed, "b", 24 * time.Hour, "", authStale, authStale},
		"missing":                         {keyTable("a"), nil, closed, "", 0, "", authUnknownKey, authUnknownKey},
		"missing, stale":                  {keyTable("a"), nil, closed, "", fresh + 1, "", authStale, authStale},
		"missing, no key in force":        {keyTable(), nil, closed, "", 0, "", authUnknownKey, authUnknownKey},
		"public, known":                   {keyTable("a"), nil, public, "a", 0, "a", authAdmit, authAdmit},
		"public, unknown":                 {keyTable("a"), nil, public, "b", 0, "", authAdmit, authAdmit},
		"public, missing":                 {keyTable("a"), nil, public, "", 0, "", authAdmit, authAdmit},
		"public, missing, a day old":      {keyTable("a"), nil, public, "", 24 * time.Hour, "", authAdmit, authAdmit},
		"public, known, a day old":        {keyTable("a"), nil, public, "a", 24 * time.Hour, "a", authAdmit, authAdmit},
		"restored, in both":               {keyTable("a"), keyTable("a", "b"), closed, "a", 0, "a", authAdmit, authAdmit},
		"restored, only in the older one": {keyTable("a"), keyTable("a", "b"), closed, "b", 0, "", authUnknownKey, authUnknownKey},
		"restored, not in the store":      {keyTable("a", "b"), keyTable("a"), closed, "b", 0, "b", authTooOld, authAdmit},
		"restored, other tenant":          {keyTable("a"), swapped("a", "b"), closed, "a", 0, "a", authTooOld, authAdmit},
	} {
		r := &configRead{begun: time.Minute, snap: &serving.Snapshot{Config: &serving.Config{Keys: tt.keys}}, stored: tt.stored}
		for strict, want := range map[bool]authVerdict{true: tt.strict, false: tt.lax} {
			a := authentication{strict: strict, revokeWithin: within, freshFor: fresh}
			tenant, verdict := a.authenticate(r, tt.route, tt.key, r.begun+tt.age)
			if verdict != want {
				t.Errorf("%s (strict %v): %s, want %s", name, strict, verdict, want)
			}
			got := ""
			if tenant != nil {
				got = string(tenant.Name)
			}
			if verdict == authAdmit && got != tt.tenant || verdict != authAdmit && got != "" {
				t.Errorf("%s (strict %v): tenant %q", name, strict, got)
			}
		}
	}
}

// swapped returns a table in which a key belongs to a tenant of another name.
func swapped(key, tenant string) *serving.KeyTable {
	t := serving.NewKeyTable()
	t.Add(key, tenantOf(tenant))
	return t
}
