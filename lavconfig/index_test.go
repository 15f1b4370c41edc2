package lavconfig

import (
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
)

func TestIndex(t *testing.T) {
	x := NewIndex(&State{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "h", PathPrefix: "/a/"},
			{Name: "long", Host: "h", PathPrefix: "/a/b/"},
			{Name: "other", Host: "g", PathPrefix: "/"},
		},
		Customers: []Customer{{Name: "c", Credentials: []string{"k1", "k2"}}},
	})
	routes := []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/bx", "short"},
		{"h", "/b/", ""},
		{"g", "/anything", "other"},
		{"unknown", "/a/", ""},
	}
	for _, r := range routes {
		got := ""
		if route := x.Route(r.host, r.path); route != nil {
			got = route.Name
		}
		lavassert.Equal(t, r.host+r.path, got, r.want)
	}
	lavassert.Equal(t, "customer", x.Customer("k2").Name, "c")
	lavassert.True(t, "unknown credential", x.Customer("k3") == nil)
}

func TestPickService(t *testing.T) {
	r := Route{Split: []Weight{{Service: "m", Weight: 90}, {Service: "n", Weight: 10}}}
	lavassert.Equal(t, "first share", r.PickService(0.5), "m")
	lavassert.Equal(t, "second share", r.PickService(0.95), "n")
	empty := Route{}
	lavassert.Equal(t, "empty split", empty.PickService(0.5), "")
}
