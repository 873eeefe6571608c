package egretctl

import (
	"context"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/devkeys"
	"github.com/egrethoist/egrethoist/internal/mtls"
)

type keysJSON struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// keys makes a key pair for trials. Run again it replaces the pair, which processes take up without a restart.
func (c *command) keys(context.Context) error {
	h := devkeys.Holder{Name: c.name}
	for _, r := range c.roles {
		if !slices.Contains(mtls.Roles, mtls.Role(r)) {
			return usage("--role: %q is none of %v", r, mtls.Roles)
		}
		h.Roles = append(h.Roles, mtls.Role(r))
	}
	if len(h.Roles) == 0 {
		return usage("--role is missing")
	}
	for _, text := range c.ips {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			return usage("--ip: %v", err)
		}
		h.IPs = append(h.IPs, ip)
	}
	if c.name == "ca" || filepath.Base(c.name) != c.name {
		return usage("NAME is taken for a file, and must not be %q", c.name)
	}
	if err := devkeys.Issue(c.dir, h, time.Now()); err != nil {
		return err
	}
	out := keysJSON{
		Cert: filepath.Join(c.dir, c.name+".pem"),
		Key:  filepath.Join(c.dir, c.name+"-key.pem"),
		CA:   filepath.Join(c.dir, devkeys.CAFile),
	}
	c.print(out, "%s\n%s\n%s", out.Cert, out.Key, out.CA)
	return nil
}
