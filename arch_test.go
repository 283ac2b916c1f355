package violetspan_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "violetspan.example/violetspan/"

// Import rules by package. Paths are prefixes; the first rule that matches a folder
// applies.
var layers = []struct {
	folder string
	ours   []string // allowed imports from this module
	no     []string // forbidden imports from elsewhere
	pure   bool     // starts no goroutine and doesn't read the clock
}{
	{"routing", nil, []string{"net", "os", "log", "sync", "github.com", "golang.org", "gonum.org", "go.yaml.in"}, true},
	{"decide", []string{"routing", "decide"}, []string{"net", "os", "log", "sync", "go.yaml.in", "golang.org"}, true},
	{"internal/mesh", []string{"routing", "decide"}, []string{"net", "os"}, true},
	{"internal/lab", []string{"routing", "decide", "internal/mesh", "internal/strict"}, []string{"net"}, false},
	{"internal/metrics", nil, []string{"net"}, false},
	{"internal/core", []string{"routing", "decide"}, []string{"net"}, false},
	{"internal/cluster", []string{"decide", "internal/strict"}, []string{"net/http"}, false},
	{"internal/planner", []string{"routing", "decide", "internal/strict"}, []string{"net"}, false},
	{"internal/platform", []string{"routing", "decide", "internal/core", "internal/sig", "internal/trunk", "internal/config", "internal/metrics"}, nil, false},
	{"internal/callapi", []string{"routing", "decide", "internal/core", "internal/trunk", "internal/tenant"}, nil, false},
	{"internal", []string{"routing", "decide", "internal"}, nil, false},
	{"cmd", []string{"routing", "decide", "internal"}, nil, false},
	{"example", nil, nil, false},
}

// Dependencies point down only: cmd > internal/proxy > the servers > the core > decide
// and routing. Deciding packages do no I/O.
func TestLayers(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, l := range layers {
			if !oneOf(path, []string{l.folder}) {
				continue
			}
			for _, i := range f.Imports {
				p := strings.Trim(i.Path.Value, `"`)
				if own, ok := strings.CutPrefix(p, module); ok {
					if !oneOf(own, l.ours) {
						t.Errorf("%s imports %s", path, own)
					}
				} else if oneOf(p, l.no) {
					t.Errorf("%s imports %s", path, p)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				_, starts := n.(*ast.GoStmt)
				s, _ := n.(*ast.SelectorExpr)
				if l.pure && (starts || s != nil && slices.Contains([]string{"time Now", "time Sleep", "time Since"}, fmt.Sprint(s.X, " ", s.Sel))) {
					t.Errorf("%s starts a goroutine or asks the clock", path)
				}
				return true
			})
			return nil
		}
		t.Errorf("%s: no rule for its folder", path)
		return nil
	})
	if err != nil || files < 40 {
		t.Error(files, err)
	}
}

func oneOf(path string, folders []string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return path == f || strings.HasPrefix(path, f+"/") })
}
