package options

import (
	"bytes"
	"errors"
	"flag"
	"net/netip"
	"strings"
	"testing"
	"time"
)

type config struct {
	vm       string
	timeout  time.Duration
	limit    int
	trace    bool
	operator netip.AddrPort
	bind     map[string]netip.AddrPort
}

func newSet(c *config) (*Set, *bytes.Buffer) {
	output := &bytes.Buffer{}
	s := New("bramley-test")
	s.SetOutput(output)
	s.String(&c.vm, "vm", "", "name of the VM")
	s.Duration(&c.timeout, "timeout", 2*time.Second, "time to wait")
	s.Int(&c.limit, "limit", 10, "largest body in `bytes`")
	s.Bool(&c.trace, "trace", false, "trace calls")
	s.AddrPort(&c.operator, "operator", "127.0.0.1:0", "address for operators")
	s.Bindings(&c.bind, "bind", "", "sockets of the services")
	s.Require("vm")
	return s, output
}

func TestFlagOverridesEnvironment(t *testing.T) {
	t.Setenv("BRAMLEY_VM", "from-env")
	t.Setenv("BRAMLEY_TIMEOUT", "7s")
	t.Setenv("BRAMLEY_BIND", "orders=127.0.0.1:41001,certificates=127.0.0.1:41002")
	var c config
	s, _ := newSet(&c)
	if err := s.Parse([]string{"--vm", "from-flag", "--trace"}); err != nil {
		t.Fatal(err)
	}
	if c.vm != "from-flag" || c.timeout != 7*time.Second || !c.trace || c.limit != 10 {
		t.Fatalf("got %+v", c)
	}
	if c.bind["certificates"] != netip.MustParseAddrPort("127.0.0.1:41002") || c.operator.Port() != 0 {
		t.Fatalf("got %+v", c)
	}
}

func TestAllInvalidValuesAreReported(t *testing.T) {
	t.Setenv("BRAMLEY_LIMIT", "many")
	var c config
	s, _ := newSet(&c)
	err := s.Parse([]string{"--timeout=5", "--unknown", "x", "--other", "--bind", "orders", "--operator=host:1"})
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"--timeout", "-unknown", "-other", "--bind", "--operator", "BRAMLEY_LIMIT", "--vm (or BRAMLEY_VM) is required"} {
		if strings.Count(err.Error(), want) != 1 {
			t.Errorf("%q is not reported exactly once in:\n%v", want, err)
		}
	}
}

func TestHelpShowsUnitsAndDefaults(t *testing.T) {
	var c config
	s, output := newSet(&c)
	if err := s.Parse([]string{"--help"}); !errors.Is(err, flag.ErrHelp) {
		t.Fatalf("got %v", err)
	}
	for _, want := range []string{"--limit bytes", "default 10", "--timeout duration\n        time to wait (default 2s", "env BRAMLEY_BIND"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("help output lacks %q:\n%s", want, output)
		}
	}
}

func TestVersion(t *testing.T) {
	var c config
	s, output := newSet(&c)
	if err := s.Parse([]string{"--version"}); !errors.Is(err, ErrVersion) {
		t.Fatalf("got %v", err)
	}
	if !strings.HasPrefix(output.String(), "bramley-test ") {
		t.Fatalf("got %q", output)
	}
}
