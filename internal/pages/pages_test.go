package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const root = "../.."

// proofRows are the identifiers that docs/PROOFS.md must have a row for: the
// ten invariants and the eight groups of faults.
var proofRows = []string{
	"H1", "H2", "H3", "H4", "H5", "H6", "H7", "H8", "H9", "H10",
	"F1", "F2", "F3", "F4", "F5", "F6", "F7", "F8",
}

// proofVerdicts are the words with which a verdict may start.
var proofVerdicts = []string{"proved", "partly", "red", "not proved"}

func readRows(t *testing.T, page string) []Row {
	t.Helper()
	f, err := os.Open(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rows, err := Rows(f)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// testNames returns the names of all tests, fuzz targets and benchmarks, and
// the scenario files.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, ".txtar") {
			names[filepath.Base(path)] = true
		}
		if strings.HasSuffix(path, "_test.go") {
			return addTests(names, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func addTests(names map[string]bool, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok {
			names[f.Name.Name] = true
		}
	}
	return nil
}

func TestProofsNameExistingTests(t *testing.T) {
	rows := readRows(t, "docs/PROOFS.md")
	names := testNames(t)
	Convey("docs/PROOFS.md has a row for each point, with tests that exist and a verdict", t, func() {
		byID := make(map[string]Row)
		for _, r := range rows {
			byID[r.Cell(0)] = r
		}
		for _, id := range proofRows {
			So(byID, ShouldContainKey, id)
			tests := Quoted(byID[id].Cell(2))
			for _, name := range tests {
				So(names, ShouldContainKey, name)
			}
			verdict := byID[id].Cell(6)
			So(hasPrefixOf(verdict, proofVerdicts), ShouldBeTrue)
			if strings.HasPrefix(verdict, "proved") {
				So(tests, ShouldNotBeEmpty)
			}
		}
	})
}

func hasPrefixOf(s string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(s, p) {
			return true
		}
	}
	return false
}
