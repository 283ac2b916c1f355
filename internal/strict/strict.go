// Package strict reads files that are written by people and configuration tools. It limits
// their size, and its errors name the file, line and key.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"go.yaml.in/yaml/v3"
)

// ReadFile returns the content of a file. It fails if the file is longer than maxBytes.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		err = KeyError(path, 1, "file", fmt.Sprintf("longer than %d bytes", maxBytes))
	}
	return b, err
}

// KeyError returns an error for one key: "FILE:LINE: key KEY: reason".
func KeyError(file string, line int, key, reason string) error {
	return fmt.Errorf("%s:%d: key %s: %s", file, max(1, line), key, reason)
}

// Document returns the root node of a YAML text, which must contain exactly one document.
// The error for an empty text names the key root.
func Document(file string, b []byte, root string) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(b))
	var doc, extra yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		return nil, KeyError(file, 1, root, "missing")
	} else if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := dec.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, KeyError(file, extra.Line, root, "one document is wanted")
	}
	return doc.Content[0], nil
}

// ForEachEntry calls handle for each entry of a mapping, with the line of the entry's key,
// until one returns an error. A nil or null node counts as an empty mapping, and an alias
// is resolved. name is the mapping's own key, for errors.
func ForEachEntry(file, name string, n *yaml.Node, handle func(key string, line int, v *yaml.Node) error) error {
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
		if err := handle(key.Value, key.Line, v); err != nil {
			return err
		}
	}
	return nil
}
