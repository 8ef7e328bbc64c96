package query_test

import (
	"encoding/json"
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestQuery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Query")
}

type scripts struct {
	Accepted []string `json:"accepted"`
	Refused  []struct {
		Command string `json:"command"`
		// Pointer marks the column of the error by a caret under the command.
		Pointer string `json:"pointer"`
		Says    string `json:"says"`
	} `json:"refused"`
	Selections []struct {
		Command string   `json:"command"`
		Names   []string `json:"names"`
	} `json:"selections"`
	Tiers [][]string `json:"tiers"`
}

func load() scripts {
	text, err := os.ReadFile("testdata/commands.json")
	Expect(err).NotTo(HaveOccurred())
	var parsed scripts
	Expect(json.Unmarshal(text, &parsed)).To(Succeed())
	return parsed
}

var _ = Describe("the command language", func() {
	// Guards against a documented statement that the grammar does not accept.
	It("accepts every kind of statement", func() {
		for _, command := range load().Accepted {
			_, err := query.Parse(command)
			Expect(err).NotTo(HaveOccurred(), command)
		}
	})

	// Guards against errors that do not show where the command is wrong and why.
	It("reports the column of an error and what was expected", func() {
		for _, script := range load().Refused {
			_, err := query.Parse(script.Command)
			var syntax *query.SyntaxError
			Expect(errors.As(err, &syntax)).To(BeTrue(), script.Command)
			Expect(syntax.Column).To(Equal(strings.Index(script.Pointer, "^")+1), script.Command+": "+err.Error())
			Expect(err.Error()).To(ContainSubstring(script.Says), script.Command)
		}
	})

	// Guards against comparing numbers and durations as text ("9" after "10").
	It("compares typed columns by value", func() {
		parsed := load()
		for _, script := range parsed.Selections {
			command, err := query.Parse(script.Command)
			Expect(err).NotTo(HaveOccurred())
			kind, _ := query.KindOf("tiers")
			table := kind.Table()
			for _, cells := range parsed.Tiers {
				table.Rows = append(table.Rows, &wire.Row{Cells: cells})
			}
			Expect(command.Show.Select(table)).To(Succeed())
			var names []string
			for _, row := range table.GetRows() {
				names = append(names, row.GetCells()[0])
			}
			Expect(names).To(Equal(script.Names), script.Command)
		}
	})

	// Guards against a bearer token that is disclosed by show config or by a
	// conflict message.
	It("redacts tokens in a command's text", func() {
		Expect(query.Redact(`create customer clinic token "a \" b" tier paid`)).To(Equal(`create customer clinic token … tier paid`))
	})
})

var _ = Describe("docs/COMMANDS.md", func() {
	page := func() string {
		text, err := os.ReadFile("../../docs/COMMANDS.md")
		Expect(err).NotTo(HaveOccurred())
		return string(text)
	}

	// Guards against documented examples that do not parse.
	It("has only examples that parse", func() {
		examples := regexp.MustCompile(`(?m)^    hibctl '(.+)'$`).FindAllStringSubmatch(page(), -1)
		Expect(len(examples)).To(BeNumerically(">", 10))
		for _, example := range examples {
			_, err := query.Parse(example[1])
			Expect(err).NotTo(HaveOccurred(), example[1])
		}
	})

	// Guards against an undocumented column or field.
	It("lists every column and field with its type", func() {
		names := map[wire.ColumnType]string{1: "text", 2: "number", 3: "duration", 4: "time"}
		for _, kind := range query.Kinds() {
			Expect(page()).To(ContainSubstring("### " + kind.Name + "\n"))
			for _, column := range kind.Columns {
				Expect(page()).To(ContainSubstring("| `" + column.Name + "` | " + names[column.Type] + " | " + column.Help + " |"))
			}
		}
		for _, what := range []string{"customer", "tier", "rule"} {
			for _, setter := range query.Setters(what) {
				Expect(page()).To(ContainSubstring("| " + what + " | `" + setter.Name + "` | " + names[setter.Type] + " | " + setter.Help))
			}
		}
	})
})

// FuzzParse guards against a command that causes a panic or an error whose column
// is outside the text.
func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("testdata/commands.json")
	if err != nil {
		f.Fatal(err)
	}
	var parsed scripts
	if err := json.Unmarshal(text, &parsed); err != nil {
		f.Fatal(err)
	}
	for _, command := range parsed.Accepted {
		f.Add(command)
	}
	for _, script := range parsed.Refused {
		f.Add(script.Command)
	}
	f.Fuzz(func(t *testing.T, command string) {
		_, err := query.Parse(command)
		if err == nil {
			return
		}
		var failure *query.SyntaxError
		if !errors.As(err, &failure) {
			t.Fatalf("error is a %T, not a *query.SyntaxError", err)
		}
		if failure.Column < 1 || failure.Column > utf8.RuneCountInString(command)+1 || failure.Message == "" {
			t.Fatalf("column %d, message %q for %q", failure.Column, failure.Message, command)
		}
	})
}
