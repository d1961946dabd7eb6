package pipeline

import (
	"slices"

	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

// resolveAlias returns the node that an alias stands for.
func resolveAlias(node *yaml.Node) *yaml.Node {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// forEachKey calls visit for each key of a mapping, in the order of the file, until it returns an
// error.
func forEachKey(node *yaml.Node, visit func(key string, value *yaml.Node) error) error {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if err := visit(node.Content[i].Value, resolveAlias(node.Content[i+1])); err != nil {
			return err
		}
	}
	return nil
}

// valueOf returns the value of a mapping's key, nil if there is none.
func valueOf(node *yaml.Node, key string) *yaml.Node {
	if i := indexOfKey(node, key); i >= 0 {
		return node.Content[i+1]
	}
	return nil
}

// indexOfKey returns the index of a key in a mapping's content, -1 if there is none. The value
// follows it.
func indexOfKey(node *yaml.Node, key string) int {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return i
		}
	}
	return -1
}

// mergeMappings returns a mapping with the keys of both, those of the first taking precedence.
// Mappings under a key of both are merged as well.
func mergeMappings(over, under *yaml.Node) *yaml.Node {
	if over == nil {
		return under
	}
	if under == nil || over.Kind != yaml.MappingNode || under.Kind != yaml.MappingNode {
		return over
	}
	merged := *over
	merged.Content = slices.Clone(over.Content)
	for i := 0; i+1 < len(under.Content); i += 2 {
		if k := indexOfKey(&merged, under.Content[i].Value); k >= 0 {
			merged.Content[k+1] = mergeMappings(merged.Content[k+1], under.Content[i+1])
		} else {
			merged.Content = append(merged.Content, under.Content[i], under.Content[i+1])
		}
	}
	return &merged
}

// treeCopier copies trees of nodes. It limits the number of copied nodes, since a small file whose
// aliases are nested grows exponentially when they are resolved.
type treeCopier struct {
	copiedNodes int // by all calls of copyTree
}

// copyTree copies a node with aliases resolved and merge keys applied, so that the copy may be changed.
// It returns an error if the copies exceed the limits of nodes or depth.
func (c *treeCopier) copyTree(node *yaml.Node, depth int) (*yaml.Node, error) {
	node = resolveAlias(node)
	if c.copiedNodes++; c.copiedNodes > tuning.MaxPipelineNodes || depth > tuning.MaxPipelineDepth {
		return nil, newPositionError(node, "the file unfolds to too much; fewer or smaller aliases and extends are needed")
	}
	if node.Tag == "!reference" {
		return nil, newPositionError(node, "!reference is not supported; extends or an anchor does the same")
	}
	copied := *node
	copied.Content, copied.Anchor, copied.Alias = nil, "", nil
	if node.Kind == yaml.MappingNode {
		if err := c.copyMapping(node, &copied, depth); err != nil {
			return nil, err
		}
		return &copied, nil
	}
	for _, child := range node.Content {
		copiedChild, err := c.copyTree(child, depth+1)
		if err != nil {
			return nil, err
		}
		copied.Content = append(copied.Content, copiedChild)
	}
	return &copied, nil
}

// copyMapping copies the keys and values of a mapping, and then those keys of merged mappings that it
// does not have itself.
func (c *treeCopier) copyMapping(node, copied *yaml.Node, depth int) error {
	var merged []*yaml.Node
	for i := 0; i+1 < len(node.Content); i += 2 {
		value, err := c.copyTree(node.Content[i+1], depth+1)
		if err != nil {
			return err
		}
		switch {
		case node.Content[i].Tag != "!!merge":
			key := *node.Content[i]
			copied.Content = append(copied.Content, &key, value)
		case value.Kind == yaml.SequenceNode:
			merged = append(merged, value.Content...)
		default:
			merged = append(merged, value)
		}
	}
	for _, mapping := range merged {
		if mapping.Kind != yaml.MappingNode {
			return newPositionError(mapping, "<<: must be a mapping or a list of them")
		}
		for i := 0; i+1 < len(mapping.Content); i += 2 {
			if valueOf(copied, mapping.Content[i].Value) == nil {
				copied.Content = append(copied.Content, mapping.Content[i], mapping.Content[i+1])
			}
		}
	}
	return nil
}
