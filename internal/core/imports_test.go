package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const modulePath = "github.com/savorytiller/savorytiller/"

// allowedImports lists the packages that the core may import. Packages for input,
// output, encoding, locking and timekeeping are omitted on purpose; of package time
// the core may use all but bannedTimeFuncs.
var allowedImports = map[string]bool{
	"cmp": true, "container/heap": true, "container/list": true, "errors": true, "fmt": true, "hash/maphash": true,
	"encoding/binary": true, // fixed-width byte order for hash inputs only
	"iter":            true, "maps": true, "math": true, "math/bits": true, "math/rand/v2": true,
	"net/netip": true, "slices": true, "sort": true, "strconv": true, "strings": true, "time": true,
	"unsafe":                       true, // unsafe.Sizeof in size checks
	"github.com/ansel1/merry/v2":   true,
	"github.com/cespare/xxhash/v2": true,
}

// bannedTimeFuncs lists the functions of package time that read the clock or wait.
var bannedTimeFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true,
	"NewTimer": true, "NewTicker": true,
}

// allowedRandNames lists the names of package rand that the core may use. The others
// use the global generator, whose results a test cannot reproduce.
var allowedRandNames = map[string]bool{"Rand": true, "New": true, "NewPCG": true, "NewChaCha8": true, "Source": true}

// Guards against core code that reads a clock, opens a socket, starts a goroutine or
// encodes a message, because a test could not control or reproduce its decisions.
func TestCoreImportsOnlyPureCode(t *testing.T) {
	forEachSourceFile(t, ".", func(path string, file *ast.File) {
		for _, spec := range file.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			inCore := strings.HasPrefix(name, modulePath+"internal/core/")
			require.True(t, inCore || allowedImports[name], "%s imports %s", path, name)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", path)
			case *ast.ChanType:
				t.Errorf("%s uses a channel", path)
			case *ast.SelectorExpr:
				pkg, ok := n.X.(*ast.Ident)
				if !ok {
					break
				}
				require.False(t, pkg.Name == "time" && bannedTimeFuncs[n.Sel.Name], "%s calls time.%s", path, n.Sel.Name)
				require.False(t, pkg.Name == "rand" && !allowedRandNames[n.Sel.Name], "%s calls rand.%s", path, n.Sel.Name)
			}
			return true
		})
	})
}

// Guards against imports that break the separation of the layers. Ports must not import
// adapters, control or traffic. Adapters must not import control or traffic, and control
// and traffic must not import adapters. None of the last three may import the stand-ins.
func TestLayersImportInwards(t *testing.T) {
	forEachSourceFile(t, "../port", func(path string, file *ast.File) {
		requireNoImport(t, path, file, "internal/adapter", "internal/control", "internal/traffic")
	})
	forEachSourceFile(t, "../adapter", func(path string, file *ast.File) {
		requireNoImport(t, path, file, "internal/control", "internal/traffic", "internal/standin")
	})
	for _, dir := range []string{"../control", "../traffic"} {
		forEachSourceFile(t, dir, func(path string, file *ast.File) {
			requireNoImport(t, path, file, "internal/adapter", "internal/standin")
		})
	}
}

func requireNoImport(t *testing.T, path string, file *ast.File, prefixes ...string) {
	t.Helper()
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		for _, prefix := range prefixes {
			require.False(t, strings.HasPrefix(name, modulePath+prefix), "%s imports %s", path, name)
		}
	}
}

func forEachSourceFile(t *testing.T, root string, check func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			check(path, file)
		}
		return err
	})
	require.NoError(t, err)
}
