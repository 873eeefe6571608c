// Command egretctl changes and reads the configuration of egrethoist.
package main

import (
	"os"

	"github.com/egrethoist/egrethoist/internal/egretctl"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/rpc"
	"github.com/egrethoist/egrethoist/internal/units"
	usersplatform "github.com/egrethoist/egrethoist/platform"
)

func main() {
	env := egretctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Dial: dial, DialStore: dialStore}
	os.Exit(egretctl.Run(env, os.Args[1:]))
}

func dialStore(address units.Address) metastore.Store {
	return usersplatform.NewStore(address.String())
}

func dial(address units.Address, keys *mtls.Options) (platform.KV, error) {
	if keys == nil {
		return rpc.NewPlainClient(address.String()), nil
	}
	source, err := mtls.New(*keys)
	if err != nil {
		return nil, err
	}
	return rpc.NewTLSClient(source.ClientConfigFunc(mtls.RolePlatform), address.String()), nil
}
