package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"
	"github.com/tailscale/hujson"
)

// Exit codes of the long-running binaries.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the process stopped on an error
	ExitSettings = 2 // flags or settings are wrong
)

// Command is a parsed command line.
type Command struct {
	File  string
	Check bool // only check the settings
	set   overrides
}

// overrides are flags that replace values of the file. Empty keeps the file's value.
type overrides struct {
	Name, FailureDomain, Region, Listen, Admin, KeyValue string
	Bootstrap                                            []string
}

// ParseCommand parses the arguments after the program's name. Wrong flags end the process with ExitSettings.
func ParseCommand(program, about string, args []string) (*Command, error) {
	c := &Command{}
	p := flaggy.NewParser(program)
	p.Description = about
	p.DisableShowVersionWithVersion()
	p.String(&c.File, "s", "settings", "settings file, JSON with comments")
	p.Bool(&c.Check, "", "check", "check the settings and exit")
	p.String(&c.set.Name, "", "name", "name of this instance")
	p.String(&c.set.FailureDomain, "", "failure-domain", "failure domain of this instance")
	p.String(&c.set.Region, "", "region", "region of this instance")
	p.String(&c.set.Listen, "", "listen", "IP:port to listen on")
	p.String(&c.set.Admin, "", "admin", "IP:port of health, readiness and metrics")
	p.String(&c.set.KeyValue, "", "key-value", "IP:port of the key-value service")
	p.StringSlice(&c.set.Bootstrap, "", "bootstrap", "IP:port of a peer; may be repeated")
	if err := p.ParseArgs(args); err != nil {
		return nil, trace.Wrap(err, "parse flags of %s", program)
	}
	if c.File == "" {
		return nil, trace.BadParameter("parse flags of %s: --settings FILE is missing", program)
	}
	return c, nil
}

// LoadEntry reads and checks the file, with the flags in place of its values.
func (c *Command) LoadEntry() (*Entry, error) {
	src, err := c.source()
	if err != nil {
		return nil, err
	}
	e, errs := ParseEntry(c.File, src)
	if errs != nil {
		return nil, trace.Wrap(errs, "check settings")
	}
	return e, nil
}

// LoadSidecar reads and checks the file, with the flags in place of its values.
func (c *Command) LoadSidecar() (*Sidecar, error) {
	src, err := c.source()
	if err != nil {
		return nil, err
	}
	s, errs := ParseSidecar(c.File, src)
	if errs != nil {
		return nil, trace.Wrap(errs, "check settings")
	}
	return s, nil
}

func (c *Command) source() ([]byte, error) {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return nil, trace.Wrap(err, "read settings")
	}
	return c.set.apply(src), nil
}

// apply sets the given values in the source, so that they pass the same checks as the file's own. A file
// that is no JSON object is left to the parser's error.
func (o *overrides) apply(src []byte) []byte {
	v, err := hujson.Parse(src)
	if err != nil {
		return src
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return src
	}
	for _, f := range []struct{ key, value string }{
		{"name", o.Name}, {"failure_domain", o.FailureDomain}, {"region", o.Region},
		{"listen", o.Listen}, {"admin", o.Admin}, {"key_value", o.KeyValue},
	} {
		if f.value != "" {
			setMember(obj, f.key, hujson.String(f.value))
		}
	}
	if len(o.Bootstrap) > 0 {
		list := &hujson.Array{}
		for _, a := range o.Bootstrap {
			list.Elements = append(list.Elements, hujson.Value{Value: hujson.String(strings.TrimSpace(a))})
		}
		setMember(obj, "bootstrap", list)
	}
	return v.Pack()
}

func setMember(obj *hujson.Object, key string, value hujson.ValueTrimmed) {
	for i, m := range obj.Members {
		if m.Name.Value.(hujson.Literal).String() == key {
			obj.Members[i].Value.Value = value
			return
		}
	}
	member := hujson.ObjectMember{
		Name:  hujson.Value{Value: hujson.String(key), BeforeExtra: hujson.Extra(" ")},
		Value: hujson.Value{Value: value, BeforeExtra: hujson.Extra(" ")},
	}
	obj.Members = append(obj.Members, member)
}

// Report writes an error of loading to stderr and returns the exit code for it.
func Report(err error) int {
	fmt.Fprintln(os.Stderr, trace.UserMessage(err))
	return ExitSettings
}
