package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// typeChecker compares a document with the Go type that it is decoded into, and collects
// the differences. The decoder alone would round numbers and accept numbers as text.
type typeChecker struct{ problems Problems }

var durationType = reflect.TypeFor[time.Duration]()

const remedySeeReference = "docs/OPERATIONS.md lists the keys and their types"

func (c *typeChecker) addProblem(n ast.Node, path, remedy, format string, args ...any) {
	c.problems = append(c.problems, &Problem{
		Line: n.GetToken().Position.Line, Key: path, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// checkValue checks the node at path against a type.
func (c *typeChecker) checkValue(n ast.Node, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case n == nil || n.Type() == ast.NullType:
		c.reportNull(n, path)
	case t == durationType:
		c.checkDuration(n, path)
	case t.Kind() == reflect.Struct:
		c.checkMapping(n, t, path)
	case t.Kind() == reflect.Slice:
		c.checkSequence(n, t, path)
	default:
		c.checkScalar(n, t.Kind(), path)
	}
}

// reportNull reports a key without a value.
func (c *typeChecker) reportNull(n ast.Node, path string) {
	if n != nil && n.GetToken() != nil {
		c.addProblem(n, path, "give a value or remove the key", "no value")
	}
}

func (c *typeChecker) checkDuration(n ast.Node, path string) {
	const remedy = "write a duration with its unit, such as 1.4s or 250ms"
	if n.Type() != ast.StringType {
		c.addProblem(n, path, remedy, "%s where a duration is expected", describeNode(n))
		return
	}
	text := n.GetToken().Value
	if _, err := time.ParseDuration(text); err != nil {
		c.addProblem(n, path, remedy, "%q is not a duration", text)
	}
}

func (c *typeChecker) checkMapping(n ast.Node, t reflect.Type, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		c.addProblem(n, path, remedySeeReference, "%s where keys with values are expected", describeNode(n))
		return
	}
	fields := fieldTypes(t)
	seen := map[string]int{}
	for it := m.MapRange(); it.Next(); {
		key := it.Key()
		name := key.GetToken().Value
		at := joinPath(path, name)
		line := key.GetToken().Position.Line
		field, known := fields[name]
		switch previousLine, repeated := seen[name]; {
		case !known:
			c.addProblem(key, at, "correct the spelling or remove it; "+remedySeeReference, "unknown key")
		case repeated:
			c.addProblem(key, at, "keep one of the two", "the key is already set in line %d", previousLine)
		default:
			c.checkValue(it.Value(), field, at)
		}
		seen[name] = line
	}
}

func (c *typeChecker) checkSequence(n ast.Node, t reflect.Type, path string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		c.addProblem(n, path, "write a list", "%s where a list is expected", describeNode(n))
		return
	}
	for i, item := range s.Values {
		c.checkValue(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *typeChecker) checkScalar(n ast.Node, kind reflect.Kind, path string) {
	switch kind {
	case reflect.String:
		if n.Type() != ast.StringType && n.Type() != ast.LiteralType {
			c.addProblem(n, path, fmt.Sprintf("put it in quotes, as in %q", n.GetToken().Value), "%s where text is expected", describeNode(n))
		}
	case reflect.Bool:
		if n.Type() != ast.BoolType {
			c.addProblem(n, path, "write true or false", "%s where true or false is expected", describeNode(n))
		}
	case reflect.Float64, reflect.Float32:
		if n.Type() != ast.FloatType && n.Type() != ast.IntegerType && !isExponentNumber(n) {
			c.addProblem(n, path, "write a number", "%s where a number is expected", describeNode(n))
		}
	default:
		if n.Type() != ast.IntegerType {
			c.addProblem(n, path, "write a whole number", "%s where a whole number is expected", describeNode(n))
		}
	}
}

// isExponentNumber reports whether a node is a number such as 1e9, which the library
// parses as a string.
func isExponentNumber(n ast.Node) bool {
	t := n.GetToken()
	if t.Type != token.StringType {
		return false
	}
	x, err := strconv.ParseFloat(t.Value, 64)
	return err == nil && !math.IsInf(x, 0) && !math.IsNaN(x)
}

// fieldTypes returns the types of a struct's fields by their YAML keys.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	return out
}

// describeNode describes the kind of a node, for the message of a Problem.
func describeNode(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "keys with values"
	case ast.SequenceType:
		return "a list"
	case ast.StringType, ast.LiteralType:
		return "text"
	case ast.IntegerType, ast.FloatType:
		return "the number " + n.GetToken().Value
	case ast.BoolType:
		return "the truth value " + n.GetToken().Value
	default:
		return n.GetToken().Value
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
