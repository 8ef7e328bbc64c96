package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// fields are the fields of a process's settings on the platform, by dotted name. A field
// whose name has a dot after another one's is an entry of that table.
type fields map[string]string

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/([a-zA-Z.]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// render fills in a settings template of the deploy file: values, sections and the keys and
// commas in sections.
func render(path string, values fields) (string, error) {
	template, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read a settings template")
	}
	text := sectionPattern.ReplaceAllStringFunc(string(template), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		return renderSection(parts[1], parts[2], values)
	})
	return placeholderPattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		return values.value(placeholderPattern.FindStringSubmatch(placeholder)[1])
	}), nil
}

// renderSection renders a section once for a value, or once for each entry of a table.
func renderSection(name, body string, values fields) string {
	if value := values.value(name); value != "" {
		return strings.ReplaceAll(body, "{{.}}", value)
	}
	var rendered []string
	for _, key := range values.keys(name) {
		rendered = append(rendered, strings.NewReplacer("{{@}}", key, "{{.}}", values[name+"."+key], "{{,}}", "").Replace(body))
	}
	return strings.Join(rendered, ",")
}

// value returns a value, or one element of a list by its index.
func (values fields) value(name string) string {
	if value, ok := values[name]; ok {
		return value
	}
	at := strings.LastIndex(name, ".")
	if at < 0 {
		return ""
	}
	index := 0
	if _, err := fmt.Sscanf(name[at+1:], "%d", &index); err != nil {
		return ""
	}
	list := strings.Split(values[name[:at]], ",")
	if values[name[:at]] == "" || index >= len(list) {
		return ""
	}
	return list[index]
}

// keys returns the keys of a table of zones in their order.
func (values fields) keys(table string) []string {
	var list []string
	for _, zone := range zones {
		if _, ok := values[table+"."+zone]; ok {
			list = append(list, zone)
		}
	}
	return list
}
