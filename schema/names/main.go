// Command names lists the names that leave a process: fields and values of
// messages, stored fields, settings, flags, environment variables, metrics, log
// events and file names. With --check it reports names of an earlier list that
// no longer stand in the sources.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

func main() {
	check := flag.String("check", "", "file with a list whose names must all still stand")
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(check string) error {
	found := names{}
	if err := found.collect("."); err != nil {
		return err
	}
	if check != "" {
		return found.compare(check)
	}
	for _, line := range found.sorted() {
		fmt.Println(line)
	}
	return nil
}

// names counts the places of each line "FOLDER KIND NAME", so that a rename in
// one of two places is noticed.
type names map[string]int

func (found names) add(folder, kind, name string) {
	found[folder+" "+kind+" "+strings.ReplaceAll(name, "\n", `\n`)]++
}

func (found names) sorted() []string {
	lines := make([]string, 0, len(found))
	for line, count := range found {
		lines = append(lines, slices.Repeat([]string{line}, count)...)
	}
	slices.Sort(lines)
	return lines
}

func (found names) compare(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	missing := 0
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		if found[line]--; found[line] < 0 {
			fmt.Println("missing:", line)
			missing++
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if missing > 0 {
		return errors.Newf("%d names of %s no longer stand in the sources; peers, operators or stored data may still use them", missing, path)
	}
	return nil
}

func (found names) collect(root string) error {
	for _, step := range []func() error{found.messages, found.settings, found.deploy} {
		if err := step(); err != nil {
			return err
		}
	}
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path == "pkg/wire" || path == "schema/names" || path != root && strings.HasPrefix(entry.Name(), ".") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		return found.source(path)
	})
}

var (
	block  = regexp.MustCompile(`^\s*(message|enum|service) (\w+) \{`)
	member = regexp.MustCompile(`^\s*(?:rpc (\w+)\((\w+)\) returns \(((?:stream )?\w+)\)|(?:(?:repeated )?\w+ )?(\w+) = (\d+));`)
)

// messages adds the fields, values and calls of schema/wire.proto.
func (found names) messages() error {
	text, err := os.ReadFile("schema/wire.proto")
	if err != nil {
		return err
	}
	owner := ""
	for line := range strings.Lines(string(text)) {
		if match := block.FindStringSubmatch(line); match != nil {
			owner = match[2]
			found.add("schema", match[1], owner)
		}
		match := member.FindStringSubmatch(line)
		switch {
		case match == nil:
		case match[1] != "":
			found.add("schema", "rpc", fmt.Sprintf("%s.%s %s %s", owner, match[1], match[2], match[3]))
		default:
			found.add("schema", "field", fmt.Sprintf("%s.%s=%s", owner, match[4], match[5]))
		}
	}
	return nil
}

// settings adds the flags of schema/settings.json and their environment variables.
func (found names) settings() error {
	text, err := os.ReadFile("schema/settings.json")
	if err != nil {
		return err
	}
	var parsed struct {
		Groups []struct {
			Settings []struct {
				Name string `json:"name"`
			} `json:"settings"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(text, &parsed); err != nil {
		return err
	}
	for _, group := range parsed.Groups {
		for _, setting := range group.Settings {
			found.add("schema", "setting", "--"+setting.Name)
			found.add("schema", "setting", "HIB_"+strings.ToUpper(strings.ReplaceAll(setting.Name, "-", "_")))
		}
	}
	return nil
}

// deploy adds the lines of the deploy file and of the settings files beside it.
func (found names) deploy() error {
	paths, err := filepath.Glob("deploy/*.*")
	if err != nil {
		return err
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if line = strings.TrimSpace(line); line != "" {
				found.add("deploy", filepath.Base(path), line)
			}
		}
	}
	return nil
}

// source adds the names in one Go file: those in field tags, log events, words
// of the command grammar, and all string literals that are a single word.
func (found names) source(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	walk := &walker{found: found, folder: filepath.Dir(path), isTest: strings.HasSuffix(path, "_test.go"), errors: map[*ast.BasicLit]bool{}}
	for _, decl := range file.Decls {
		if group, isGroup := decl.(*ast.GenDecl); !isGroup || group.Tok != token.IMPORT {
			ast.Inspect(decl, walk.visit)
		}
	}
	return nil
}

type walker struct {
	found  names
	folder string
	isTest bool
	// errors holds the literals that are messages of errors.
	errors map[*ast.BasicLit]bool
}

func (walk *walker) visit(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.CallExpr:
		walk.call(node)
	case *ast.TypeSpec:
		walk.grammar(node)
	case *ast.Field:
		walk.tag(node)
	case *ast.CompositeLit:
		walk.event(node)
	case *ast.BasicLit:
		walk.literal(node)
	}
	return true
}

func (walk *walker) call(call *ast.CallExpr) {
	function, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector {
		return
	}
	if from, isName := function.X.(*ast.Ident); !isName || from.Name != "errors" {
		return
	}
	for _, argument := range call.Args {
		if text, isLiteral := argument.(*ast.BasicLit); isLiteral {
			walk.errors[text] = true
		}
	}
}

// grammar adds the types of the command grammar: syntax errors name them.
func (walk *walker) grammar(spec *ast.TypeSpec) {
	if fields, isStruct := spec.Type.(*ast.StructType); isStruct && walk.folder == "pkg/query" {
		for _, field := range fields.Fields.List {
			if field.Tag != nil {
				walk.found.add(walk.folder, "grammar", spec.Name.Name)
			}
		}
	}
}

func (walk *walker) tag(field *ast.Field) {
	if field.Tag == nil || walk.isTest {
		return
	}
	tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`"))
	for _, key := range []string{"json", "long", "env", "parser", "command", "name", "default", "positional-arg-name"} {
		if value := tag.Get(key); value != "" {
			walk.found.add(walk.folder, key, value)
		}
	}
	walk.errors[field.Tag] = true
}

func (walk *walker) event(value *ast.CompositeLit) {
	if name, isName := value.Type.(*ast.Ident); !isName || name.Name != "Event" || len(value.Elts) != 2 {
		return
	}
	number, isNumber := value.Elts[0].(*ast.BasicLit)
	message, isMessage := value.Elts[1].(*ast.BasicLit)
	if isNumber && isMessage {
		walk.found.add(walk.folder, "event", number.Value+" "+message.Value)
	}
}

var (
	letter = regexp.MustCompile(`[A-Za-z]`)
	space  = regexp.MustCompile(`\s`)
	// framing is text with spaces that belongs to HTTP or an event stream.
	framing = regexp.MustCompile(`^data:|^event:|^: |^[A-Z][A-Za-z-]+: |HTTP/1|; charset|Bearer `)
)

func (walk *walker) literal(literal *ast.BasicLit) {
	if literal.Kind != token.STRING || walk.errors[literal] {
		return
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil || !letter.MatchString(text) || space.MatchString(text) && !framing.MatchString(text) {
		return
	}
	if walk.isTest && !strings.HasPrefix(text, "HIB_") {
		return
	}
	walk.found.add(walk.folder, "text", text)
}
