package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"cherrywall/internal/fake/encodedform"

	"github.com/alecthomas/kong"
)

func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json", encodedform.Form{Name: "job", Value: jobStatus{}})
}

// TestCommandLine compares the names, flags, arguments and defaults of all commands with a golden
// file.
func TestCommandLine(t *testing.T) {
	var c cli
	parser, err := kong.New(&c, kong.Name("cherrywall"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	describeCommand(&out, parser.Model.Node, "")
	golden, err := os.ReadFile("testdata/command_line.txt")
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(golden) {
		t.Errorf("the command line is\n%s\nwant\n%s", out.String(), golden)
	}
}

// describeCommand writes a command, its flags and arguments and all its subcommands, one per line.
func describeCommand(out *strings.Builder, node *kong.Node, indent string) {
	fmt.Fprintf(out, "%s%s %v\n", indent, node.Name, node.Aliases)
	for _, flag := range node.Flags {
		fmt.Fprintf(out, "%s  --%s default=%q enum=%q env=%v\n", indent, flag.Name, flag.Default, flag.Enum, flag.Envs)
	}
	for _, arg := range node.Positional {
		fmt.Fprintf(out, "%s  <%s> default=%q enum=%q\n", indent, arg.Name, arg.Default, arg.Enum)
	}
	for _, child := range node.Children {
		describeCommand(out, child, indent+"  ")
	}
}
