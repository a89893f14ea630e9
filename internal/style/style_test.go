// Package style checks project conventions that the linter does not cover.
package style

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

func sources(t *testing.T) []string {
	var files []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, ".pb.go") {
			files = append(files, path)
		}
		return nil
	})
	is.New(t).NoErr(err)
	return files
}

func undocumented(file *ast.File) []string {
	var names []string
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil && (d.Recv == nil || exportedReceiver(d)) && !conventionalMethods[d.Name.Name] {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			names = append(names, undocumentedSpecs(d)...)
		}
	}
	return names
}

// conventionalMethods need no doc comment, since Go convention defines them.
var conventionalMethods = map[string]bool{"Close": true, "Error": true, "String": true, "Unwrap": true, "Len": true, "Less": true, "Swap": true, "Push": true, "Pop": true, "ReadByte": true}

func exportedReceiver(d *ast.FuncDecl) bool {
	expr := d.Recv.List[0].Type
	if star, ok := expr.(*ast.StarExpr); ok {
		expr = star.X
	}
	if index, ok := expr.(*ast.IndexExpr); ok {
		expr = index.X
	}
	ident, ok := expr.(*ast.Ident)
	return ok && ident.IsExported()
}

func undocumentedSpecs(d *ast.GenDecl) []string {
	var names []string
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && d.Doc == nil && s.Doc == nil {
				names = append(names, s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Names[0].IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
				names = append(names, s.Names[0].Name)
			}
		}
	}
	return names
}

func TestExportedItemsHaveDocComments(t *testing.T) {
	for _, path := range sources(t) {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		is.New(t).NoErr(err)
		for _, name := range undocumented(file) {
			t.Errorf("%s: %s has no doc comment", path, name)
		}
	}
}

// lifetimeRank orders the folders by the lifetime of their objects, longest first.
var lifetimeRank = map[string]int{"process": 0, "version": 1, "connection": 2, "request": 3}

func TestLongerLivedPackagesImportNoShorterLivedOne(t *testing.T) {
	const module = "github.com/lilacbridge/lilacbridge/"
	for _, path := range sources(t) {
		folder := strings.Split(filepath.ToSlash(strings.TrimPrefix(path, root+"/")), "/")[0]
		rank, ok := lifetimeRank[folder]
		if !ok || strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		is.New(t).NoErr(err)
		for _, imported := range file.Imports {
			rest, inModule := strings.CutPrefix(strings.Trim(imported.Path.Value, `"`), module)
			importedRank, known := lifetimeRank[strings.Split(rest, "/")[0]]
			if inModule && known && importedRank > rank {
				t.Errorf("%s imports %s, whose objects have a shorter lifetime", path, rest)
			}
		}
	}
}
