// Package strict reads files that people and configuration tools write: bounded, and
// with errors that name file, line and key.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"go.yaml.in/yaml/v3"
)

// ReadFile returns a file's content, or an error if it holds more than most bytes.
func ReadFile(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, int64(most)+1))
	if err == nil && len(b) > most {
		err = KeyError(path, 1, "file", fmt.Sprintf("longer than %d bytes", most))
	}
	return b, err
}

// KeyError is the error of one key.
func KeyError(file string, line int, key, why string) error {
	return fmt.Errorf("%s:%d: key %s: %s", file, max(1, line), key, why)
}

// Document returns the root of a YAML text that holds one document. root is the key
// that an empty text lacks.
func Document(file string, b []byte, root string) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(b))
	var doc, more yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		return nil, KeyError(file, 1, root, "missing")
	} else if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := dec.Decode(&more); !errors.Is(err, io.EOF) {
		return nil, KeyError(file, more.Line, root, "one document is wanted")
	}
	return doc.Content[0], nil
}

// ForEachEntry walks a mapping, whose key is name; an empty node is an empty one, and an alias
// is what it stands for. line is that of the key.
func ForEachEntry(file, name string, n *yaml.Node, do func(key string, line int, v *yaml.Node) error) error {
	if n == nil || n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return KeyError(file, n.Line, name, "a mapping is wanted")
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, v := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode || seen[key.Value] {
			return KeyError(file, key.Line, key.Value, "no plain key, or one that stands twice")
		}
		seen[key.Value] = true
		if v.Kind == yaml.AliasNode {
			v = v.Alias
		}
		if err := do(key.Value, key.Line, v); err != nil {
			return err
		}
	}
	return nil
}
