package options

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ValueError reports an invalid value of an option.
type ValueError struct {
	Name  string
	Value string
	Err   error
}

// Error names both the flag and its environment variable, because the value can come from either.
func (e *ValueError) Error() string {
	return fmt.Sprintf("--%s (or %s): %q: %v", e.Name, EnvName(e.Name), e.Value, e.Err)
}

// Unwrap returns the parse error.
func (e *ValueError) Unwrap() error {
	return e.Err
}

// value is a flag.Value that records an invalid value in its Set and returns no error, so that parsing continues.
type value[T any] struct {
	set     *Set
	name    string
	target  *T
	parse   func(string) (T, error)
	format  func(T) string
	boolean bool
}

func (v *value[T]) Set(text string) error {
	parsed, err := v.parse(text)
	if err != nil {
		v.set.errs = append(v.set.errs, &ValueError{Name: v.name, Value: text, Err: err})
		return nil
	}
	*v.target = parsed
	return nil
}

func (v *value[T]) String() string {
	if v == nil || v.target == nil {
		return ""
	}
	return v.format(*v.target)
}

func (v *value[T]) IsBoolFlag() bool {
	return v.boolean
}

func formatAny[T any](v T) string {
	return fmt.Sprint(v)
}

func parseText(text string) (string, error) {
	return text, nil
}

func formatText(text string) string {
	return text
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("not a duration with a unit, such as 500ms or 2s")
	}
	if d < 0 {
		return 0, fmt.Errorf("a duration must not be negative")
	}
	return d, nil
}

func parseInt(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("not an integer")
	}
	return n, nil
}

func parseBool(text string) (bool, error) {
	b, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("neither true nor false")
	}
	return b, nil
}

func parseAddrPort(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("not an IP address and port, such as 127.0.0.1:8443")
	}
	return address, nil
}

func formatAddrPort(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func parseBindings(text string) (map[string]netip.AddrPort, error) {
	bindings := make(map[string]netip.AddrPort)
	if text == "" {
		return bindings, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		name, rest, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || name == "" {
			return nil, fmt.Errorf("%q is not NAME=IP:PORT", part)
		}
		if _, exists := bindings[name]; exists {
			return nil, fmt.Errorf("%q is set twice", name)
		}
		address, err := netip.ParseAddrPort(rest)
		if err != nil {
			return nil, fmt.Errorf("%q is not NAME=IP:PORT", part)
		}
		bindings[name] = address
	}
	return bindings, nil
}

func formatBindings(bindings map[string]netip.AddrPort) string {
	parts := make([]string, 0, len(bindings))
	for name, address := range bindings {
		parts = append(parts, name+"="+address.String())
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
