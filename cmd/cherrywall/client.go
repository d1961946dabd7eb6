package main

import (
	"context"
	"encoding/json"
	"fmt"

	"cherrywall/internal/apiclient"
)

// controllerFlags are the flags of a command that calls controllers.
type controllerFlags struct {
	Addr []string `help:"Listen addresses of the controllers as host:port, tried in turn." env:"CHERRYWALL_ADDR" placeholder:"HOST:PORT"`
}

func (f controllerFlags) client() *apiclient.Client { return apiclient.New(f.Addr...) }

// call sends a request to the controllers and decodes the response into out, like
// apiclient.Client.Call. The body is encoded as JSON; a nil body is not sent.
func (f controllerFlags) call(ctx context.Context, method, path string, body, out any) error {
	var encodedBody []byte
	if body != nil {
		var err error
		if encodedBody, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	_, err := f.client().Call(ctx, method, path, encodedBody, out)
	return err
}
