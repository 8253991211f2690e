package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"github.com/gravitational/trace"
)

// platformOption is the option for the platform's URL.
type platformOption struct {
	Platform string `long:"platform" env:"CHESTNUTSHED_PLATFORM" value-name:"URL" description:"base URL of the object API"`
}

func (o platformOption) store() (*object.Client, error) {
	if o.Platform == "" {
		return nil, trace.BadParameter("--platform must be set")
	}
	return object.New(o.Platform), nil
}

// nodeOption holds the options for calls to nodes.
type nodeOption struct {
	Nodes []string `long:"node" env:"CHESTNUTSHED_NODES" env-delim:"," value-name:"ADDRESS" description:"operator listener of a node; may be repeated"`
	CA    string   `long:"ca" value-name:"FILE" description:"CA certificate of the operator listeners, if they use TLS"`
	Cert  string   `long:"cert" value-name:"FILE" description:"client certificate"`
	Key   string   `long:"tls-key" value-name:"FILE" description:"private key of the client certificate"`
}

func (o nodeOption) client() (*nodeclient.Client, error) {
	if len(o.Nodes) == 0 {
		return nil, trace.BadParameter("--node must be given at least once")
	}
	c, err := nodeclient.New(settings.TLS{CA: o.CA, Cert: o.Cert, Key: o.Key})
	if err != nil {
		return nil, fmt.Errorf("load TLS files: %w", err)
	}
	return c, nil
}

// jsonOption is the option for JSON output.
type jsonOption struct {
	JSON bool `long:"json" description:"print JSON"`
}

// print writes v as JSON if --json is given, else text.
func (o jsonOption) print(out io.Writer, v any, text string) error {
	if !o.JSON {
		_, err := io.WriteString(out, text)
		return err
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// readFile reads a file, or standard input if path is "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", trace.ConvertSystemError(err))
	}
	return text, nil
}
