// reedchute-hcl parses an HCL settings file with HashiCorp's library and prints it as JSON with the line of each
// attribute and block. Errors are printed to standard error as file:line: text, and the exit status is 1. Names of
// attributes and blocks are not checked here.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	ctyjson "github.com/zclconf/go-cty/cty/json"
)

type attribute struct {
	Name  string          `json:"name"`
	Line  int             `json:"line"`
	Value json.RawMessage `json:"value"`
}

type block struct {
	Type   string   `json:"type"`
	Labels []string `json:"labels"`
	Line   int      `json:"line"`
	Body   body     `json:"body"`
}

type body struct {
	Attributes []attribute `json:"attributes"`
	Blocks     []block     `json:"blocks"`
}

func read(b *hclsyntax.Body) (body, hcl.Diagnostics) {
	out := body{Attributes: []attribute{}, Blocks: []block{}}
	var all hcl.Diagnostics
	for _, a := range b.Attributes {
		value, diags := a.Expr.Value(nil)
		all = append(all, diags...)
		if diags.HasErrors() {
			continue
		}
		text, err := ctyjson.Marshal(value, value.Type())
		if err != nil {
			r := a.SrcRange
			all = append(all, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: err.Error(), Subject: &r})
			continue
		}
		out.Attributes = append(out.Attributes, attribute{a.Name, a.SrcRange.Start.Line, text})
	}
	sort.Slice(out.Attributes, func(i, j int) bool { return out.Attributes[i].Line < out.Attributes[j].Line })
	for _, inner := range b.Blocks {
		read, diags := read(inner.Body)
		all = append(all, diags...)
		out.Blocks = append(out.Blocks, block{inner.Type, inner.Labels, inner.TypeRange.Start.Line, read})
	}
	return out, all
}

func fail(diags hcl.Diagnostics) {
	for _, d := range diags {
		line := 0
		if d.Subject != nil {
			line = d.Subject.Start.Line
		}
		fmt.Fprintf(os.Stderr, "%s:%d: %s %s\n", os.Args[1], line, d.Summary, d.Detail)
	}
	os.Exit(1)
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: reedchute-hcl FILE")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s:0: can't be read\n", os.Args[1])
		os.Exit(1)
	}
	file, diags := hclparse.NewParser().ParseHCL(text, os.Args[1])
	if diags.HasErrors() {
		fail(diags)
	}
	out, diags := read(file.Body.(*hclsyntax.Body))
	if diags.HasErrors() {
		fail(diags)
	}
	json.NewEncoder(os.Stdout).Encode(out)
}
