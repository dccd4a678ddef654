package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"martenwheel.dev/pkg/route"
)

// searcher is a ModelLoader that lists the site's servers when it is asked for one.
type searcher struct {
	site  *site
	finds bool
	asked atomic.Int32
}

func (s *searcher) RequestLoad(_ context.Context, r LoadRequest) (LoadStatus, error) {
	s.asked.Add(1)
	if !s.finds {
		return LoadStatus{}, nil
	}
	s.site.relay.Servers.Replace(s.site.servers, 3)
	return LoadStatus{Server: s.site.servers[0].ID}, nil
}

func TestNodeWithAPartOfTheServersRefusesAsIfThereWereNone(t *testing.T) {
	for name, c := range map[string]struct {
		finds  bool
		status int
	}{
		"another node knows a server":     {true, http.StatusOK},
		"other nodes know no server, too": {false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, route.Route{}, sealed(http.StatusOK, "done"))
			loader := &searcher{site: s, finds: c.finds}
			s.relay.Loader, s.relay.ListsAll = loader, func() bool { return false }
			s.relay.Servers.Replace(nil, 2)
			if got := s.get("a"); got.status != c.status {
				t.Errorf("answer %+v, want status %d", got, c.status)
			}
			if n := loader.asked.Load(); n != 1 {
				t.Errorf("asked %d times for servers", n)
			}
		})
	}
}
