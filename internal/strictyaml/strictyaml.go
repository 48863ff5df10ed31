// Package strictyaml decodes YAML documents that operators write, and reports problems
// with file, line, key and remedy.
package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// Problem is one error in a document.
type Problem struct {
	// File is the name of the document, if it has one.
	File string `json:"file,omitempty"`
	// Line counts from 1; zero if unknown.
	Line int `json:"line,omitempty"`
	// Key is the path of the key, such as added.models[0].name.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error implements the error interface: FILE:LINE: KEY: MESSAGE; REMEDY.
func (p *Problem) Error() string {
	var b strings.Builder
	switch {
	case p.File != "" && p.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	case p.File != "":
		fmt.Fprintf(&b, "%s: ", p.File)
	case p.Line > 0:
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		b.WriteString("; " + p.Remedy)
	}
	return b.String()
}

// Problems is an error that lists all problems found in a document.
type Problems []*Problem

// Error implements the error interface, with a line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Is makes Problems match errors.NotValid.
func (ps Problems) Is(target error) bool { return target == errors.NotValid }

// Add appends a problem of a key. Locate can set its line.
func (ps *Problems) Add(key, remedy, format string, args ...any) {
	*ps = append(*ps, &Problem{Key: key, Remedy: remedy, Message: fmt.Sprintf(format, args...)})
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// ProblemsOf returns the Problems that an error wraps, if any.
func ProblemsOf(err error) (Problems, bool) {
	var ps Problems
	ok := errors.As(err, &ps)
	return ps, ok
}

// SetFile sets the file of the problems in an error, and annotates other errors with
// it.
func SetFile(err error, file string) error {
	ps, ok := ProblemsOf(err)
	if !ok {
		return errors.Annotate(err, file)
	}
	for _, p := range ps {
		p.File = file
	}
	return ps
}

// Bounds on the nesting of a document: of flow collections and of sequence entries in
// one line, and on the column to which block collections are indented.
const (
	maxNesting = 32
	maxIndent  = 128
)

// Unmarshal decodes one document into out, a pointer to a struct. Unknown and repeated
// keys, wrong types, anchors, aliases and further documents are reported as Problems.
// An empty document leaves out unchanged.
func Unmarshal(raw []byte, out any) error {
	tokens := lexer.Tokenize(string(raw))
	if p := checkTokens(tokens); p != nil {
		return Problems{p}
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return Problems{convertError(err)}
	}
	body, p := singleBody(file)
	if p != nil {
		return Problems{p}
	}
	if body == nil {
		return nil
	}
	c := &typeChecker{}
	c.checkValue(body, reflect.TypeOf(out).Elem(), "")
	if err := c.problems.Err(); err != nil {
		return err
	}
	if err := yaml.NodeToValue(body, out, yaml.Strict()); err != nil {
		return Problems{convertError(err)}
	}
	return nil
}

// checkTokens refuses YAML features that make documents hard to review or their decoded
// size hard to bound (anchors, aliases, merge keys, tags, explicit keys, directives), and
// nesting beyond the bounds.
func checkTokens(tokens token.Tokens) *Problem {
	depth, line, entries := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, entries = t.Position.Line, 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return problemAt(t, "anchors, aliases and merge keys are not supported", "write the value out")
		case token.TagType, token.MappingKeyType, token.DirectiveType:
			return problemAt(t, fmt.Sprintf("%q is not supported", t.Value), "write plain keys and values")
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType:
			entries++
		}
		if depth > maxNesting || entries > maxNesting || t.Position.Column > maxIndent && t.Type == token.SequenceEntryType || t.Position.IndentNum > maxIndent {
			return problemAt(t, "the document is nested too deeply", remedySeeReference)
		}
	}
	return nil
}

// singleBody returns the only document of a file, or nil if the file is empty.
func singleBody(file *ast.File) (ast.Node, *Problem) {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, problemAt(doc.Body.GetToken(), "a second document", "write one document in a file")
		}
		body = doc.Body
	}
	return body, nil
}

// problemAt returns a problem in the line of a token.
func problemAt(t *token.Token, message, remedy string) *Problem {
	return &Problem{Line: t.Position.Line, Message: message, Remedy: remedy}
}

// convertError converts an error of the YAML library into a problem.
func convertError(err error) *Problem {
	p := &Problem{Message: err.Error(), Remedy: "correct the YAML syntax"}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return p
	}
	p.Message = positioned.GetMessage()
	if t := positioned.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
		p.Remedy = "correct the YAML syntax of this line"
	}
	return p
}

// Locate sets the line of each problem that has a key but no line: the line of the key,
// or of its nearest ancestor in the document.
func Locate(raw []byte, ps Problems) {
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return
	}
	lines := &lineIndex{lines: map[string]int{}}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			ast.Walk(lines, doc.Body)
		}
	}
	for _, p := range ps {
		if p.Line == 0 && p.Key != "" {
			p.Line = lines.lineOf(p.Key)
		}
	}
}

// lineIndex maps the paths of nodes to lines.
type lineIndex struct{ lines map[string]int }

// Visit implements ast.Visitor. It records the first line of each path.
func (x *lineIndex) Visit(n ast.Node) ast.Visitor {
	path := trimRoot(n.GetPath())
	if _, ok := x.lines[path]; !ok && n.GetToken() != nil {
		x.lines[path] = n.GetToken().Position.Line
	}
	return x
}

// lineOf returns the line of a key or of its nearest ancestor in the document. If the
// document has none of them, the problem concerns the whole document and the line is 1.
func (x *lineIndex) lineOf(key string) int {
	for key != "" {
		if line, ok := x.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// trimRoot removes the "$." with which the paths of the YAML library begin.
func trimRoot(path string) string { return strings.TrimPrefix(strings.TrimPrefix(path, "$"), ".") }
