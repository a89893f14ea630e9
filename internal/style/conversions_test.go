package style

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// conversionsPackage is the only package that converts floating-point numbers to integers.
const conversionsPackage = "github.com/lilacbridge/lilacbridge/process/number"

// checker type-checks packages.
type checker struct {
	files *token.FileSet
	types.Config
}

// newChecker returns a checker of code that imports only the given packages.
func newChecker(imports []builtPackage) *checker {
	exports := make(map[string]string, len(imports))
	for _, p := range imports {
		exports[p.ImportPath] = p.Export
	}
	files := token.NewFileSet()
	open := func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) }
	return &checker{files, types.Config{Importer: importer.ForCompiler(files, "gc", open)}}
}

// conversions returns the positions at which the files of a package convert a floating-point
// number that is no constant to an integer.
func (c *checker) conversions(name string, files []*ast.File) ([]string, error) {
	info := &types.Info{Types: make(map[ast.Expr]types.TypeAndValue)}
	if _, err := c.Check(name, c.files, files, info); err != nil {
		return nil, err
	}
	var found []string
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) != 1 || !info.Types[call.Fun].IsType() {
				return true
			}
			from, to := info.Types[call.Args[0]], info.Types[call.Fun]
			if from.Value == nil && isBasic(from.Type, types.IsFloat) && isBasic(to.Type, types.IsInteger) {
				found = append(found, c.files.Position(call.Pos()).String())
			}
			return true
		})
	}
	return found, nil
}

// isBasic reports whether the type, or a type of a type parameter's constraint, is of the kind.
func isBasic(t types.Type, kind types.BasicInfo) bool {
	switch underlying := t.Underlying().(type) {
	case *types.Basic:
		return underlying.Info()&kind != 0
	case *types.Interface:
		for i := range underlying.NumEmbeddeds() {
			if isBasic(underlying.EmbeddedType(i), kind) {
				return true
			}
		}
	case *types.Union:
		for i := range underlying.Len() {
			if isBasic(underlying.Term(i).Type(), kind) {
				return true
			}
		}
	}
	return false
}

// builtPackage is a package as the go command lists it.
type builtPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
	DepOnly                 bool
}

// builtPackages returns the packages of the repository and all that they import.
func builtPackages(t *testing.T) []builtPackage {
	is := is.New(t)
	command := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles,DepOnly", "./...")
	command.Dir = root
	out, err := command.Output()
	is.NoErr(err)
	var all []builtPackage
	for decoder := json.NewDecoder(bytes.NewReader(out)); ; {
		var p builtPackage
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return all
		}
		is.NoErr(err)
		all = append(all, p)
	}
}

// Guards against code whose results differ between kinds of machines: the language leaves the
// conversion of a number that is out of range to the implementation.
func TestFloatsAreConvertedByOnePackage(t *testing.T) {
	is := is.New(t)
	packages := builtPackages(t)
	c := newChecker(packages)
	checked := 0
	for _, p := range packages {
		if p.DepOnly || len(p.GoFiles) == 0 {
			continue
		}
		var files []*ast.File
		for _, name := range p.GoFiles {
			file, err := parser.ParseFile(c.files, filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
			is.NoErr(err)
			files = append(files, file)
		}
		found, err := c.conversions(p.ImportPath, files)
		is.NoErr(err)
		if p.ImportPath == conversionsPackage {
			is.True(len(found) > 0)
			continue
		}
		checked++
		for _, position := range found {
			t.Errorf("%s: converts a floating-point number to an integer; use package number, whose result is the same on every machine", position)
		}
	}
	is.True(checked > 0)
}

// Guards against a check that misses a form of conversion.
func TestConversionsOfFloatsAreFound(t *testing.T) {
	const source = `package p
import "time"
type ratio float32
type count uint8
func f[T int | uint32](x float64, r ratio, n int, d time.Duration) {
	%s
}`
	cases := []struct {
		name, statement string
		found           int
	}{
		{"value", "_ = int(x)", 1},
		{"time", "_ = time.Duration(x * float64(time.Second))", 1},
		{"named types", "_ = count(r)", 1},
		{"parenthesized type", "_ = (uint64)(x)", 1},
		{"type parameter", "_ = T(x)", 1},
		{"nested", "_ = int(float64(int(x)) * x)", 2},
		{"constant", "_ = int(1e3)", 0},
		{"constant time", "_ = time.Duration(1.5 * float64(time.Second))", 0},
		{"integer", "_ = uint8(n)", 0},
		{"to a float", "_ = float32(x) + float32(n)", 0},
		{"call", "_ = d.Seconds() * x", 0},
	}
	imports := builtPackages(t)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newChecker(imports)
			file, err := parser.ParseFile(c.files, "p.go", strings.Replace(source, "%s", test.statement, 1), parser.SkipObjectResolution)
			is.NoErr(err)
			found, err := c.conversions("p", []*ast.File{file})
			is.NoErr(err)
			is.Equal(len(found), test.found)
		})
	}
}
