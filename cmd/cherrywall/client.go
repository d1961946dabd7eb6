package main

import (
	"context"
	"encoding/json"
	"fmt"

	"cherrywall/internal/apiclient"
)

// controllerFlags name the controllers that a command calls.
type controllerFlags struct {
	Addr []string `help:"host:port of controllers' listen addresses, tried in turn." env:"CHERRYWALL_ADDR" placeholder:"HOST:PORT"`
}

func (f controllerFlags) client() *apiclient.Client { return apiclient.New(f.Addr...) }

// call sends a request with a JSON body, none if body is nil, to one of the controllers and
// decodes the response into out; see apiclient.Client.Call.
func (f controllerFlags) call(ctx context.Context, method, path string, body, out any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	_, err := f.client().Call(ctx, method, path, encoded, out)
	return err
}
