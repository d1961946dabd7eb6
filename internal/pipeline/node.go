package pipeline

import (
	"slices"

	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

// resolveAlias returns the node that an alias refers to. Any other node is returned unchanged.
func resolveAlias(node *yaml.Node) *yaml.Node {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// forEachKey calls visit for each key of a mapping, in the order of the file. It stops at the first error of
// visit and returns it.
func forEachKey(node *yaml.Node, visit func(key string, value *yaml.Node) error) error {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if err := visit(node.Content[i].Value, resolveAlias(node.Content[i+1])); err != nil {
			return err
		}
	}
	return nil
}

// valueOf returns the value of a mapping's key, or nil if the mapping does not have the key.
func valueOf(node *yaml.Node, key string) *yaml.Node {
	if i := keyIndex(node, key); i >= 0 {
		return node.Content[i+1]
	}
	return nil
}

// keyIndex returns the index of a key in a mapping's content, or -1 if the mapping does not have the key. The
// value of the key is at the next index.
func keyIndex(node *yaml.Node, key string) int {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return i
		}
	}
	return -1
}

// mergeMappings returns a mapping with the keys of both mappings. The values of overrides take precedence;
// if a key has a mapping as value in both, these values are merged in the same way.
func mergeMappings(overrides, base *yaml.Node) *yaml.Node {
	if overrides == nil {
		return base
	}
	if base == nil || overrides.Kind != yaml.MappingNode || base.Kind != yaml.MappingNode {
		return overrides
	}
	merged := *overrides
	merged.Content = slices.Clone(overrides.Content)
	for i := 0; i+1 < len(base.Content); i += 2 {
		if k := keyIndex(&merged, base.Content[i].Value); k >= 0 {
			merged.Content[k+1] = mergeMappings(merged.Content[k+1], base.Content[i+1])
		} else {
			merged.Content = append(merged.Content, base.Content[i], base.Content[i+1])
		}
	}
	return &merged
}

// treeCopier copies trees of nodes. It limits the number of copied nodes, because a small file with nested
// aliases grows exponentially when they are resolved.
type treeCopier struct {
	copiedNodeCount int // number of nodes that all calls of copyTree together have copied
}

// copyTree copies a node and the tree below it, with aliases resolved and merge keys applied. The caller may
// change the copy. copyTree returns an error if the copies exceed the limits on nodes or depth.
func (c *treeCopier) copyTree(node *yaml.Node, depth int) (*yaml.Node, error) {
	node = resolveAlias(node)
	if c.copiedNodeCount++; c.copiedNodeCount > tuning.MaxPipelineNodes || depth > tuning.MaxPipelineDepth {
		return nil, newPositionError(node, "the file unfolds to too much data; use fewer or smaller aliases and extends")
	}
	if node.Tag == "!reference" {
		return nil, newPositionError(node, "!reference is not supported; use extends or an anchor instead")
	}
	copiedNode := *node
	copiedNode.Content, copiedNode.Anchor, copiedNode.Alias = nil, "", nil
	if node.Kind == yaml.MappingNode {
		if err := c.copyMapping(node, &copiedNode, depth); err != nil {
			return nil, err
		}
		return &copiedNode, nil
	}
	for _, child := range node.Content {
		copiedChild, err := c.copyTree(child, depth+1)
		if err != nil {
			return nil, err
		}
		copiedNode.Content = append(copiedNode.Content, copiedChild)
	}
	return &copiedNode, nil
}

// copyMapping copies the keys and values of a mapping. It then adds the keys of merged mappings that the
// mapping itself does not have.
func (c *treeCopier) copyMapping(node, copiedNode *yaml.Node, depth int) error {
	var merged []*yaml.Node
	for i := 0; i+1 < len(node.Content); i += 2 {
		value, err := c.copyTree(node.Content[i+1], depth+1)
		if err != nil {
			return err
		}
		switch {
		case node.Content[i].Tag != "!!merge":
			key := *node.Content[i]
			copiedNode.Content = append(copiedNode.Content, &key, value)
		case value.Kind == yaml.SequenceNode:
			merged = append(merged, value.Content...)
		default:
			merged = append(merged, value)
		}
	}
	for _, mapping := range merged {
		if mapping.Kind != yaml.MappingNode {
			return newPositionError(mapping, "<<: must be a mapping or a list of mappings")
		}
		for i := 0; i+1 < len(mapping.Content); i += 2 {
			if valueOf(copiedNode, mapping.Content[i].Value) == nil {
				copiedNode.Content = append(copiedNode.Content, mapping.Content[i], mapping.Content[i+1])
			}
		}
	}
	return nil
}
