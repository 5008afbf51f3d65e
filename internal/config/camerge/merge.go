package camerge

// Merge merges an overlay into a base document, like JSON Merge Patch
// (RFC 7396). Objects are merged member by member; any other value replaces the
// value of the base; null removes it.
//
// Example: base {"a": {"x": 1, "y": 2}} with overlay
// {"a": {"x": null, "z": 3}} gives {"a": {"y": 2, "z": 3}}.
func Merge(base, overlay Node) Node {
	if overlay.Kind != KindObject {
		return overlay
	}
	merged := Node{Kind: KindObject, Position: overlay.Position}
	if base.Kind == KindObject {
		merged.Members = append(merged.Members, base.Members...)
	}
	for _, m := range overlay.Members {
		merged.Members = mergeMember(merged.Members, m)
	}
	return merged
}

func mergeMember(members []Member, overlay Member) []Member {
	index := -1
	var base Node
	for i, m := range members {
		if m.Name == overlay.Name {
			index, base = i, m.Value
		}
	}
	if overlay.Value.Kind == KindNull {
		return removeMember(members, index)
	}
	overlay.Value = Merge(base, overlay.Value)
	if index < 0 {
		return append(members, overlay)
	}
	members[index] = overlay
	return members
}

func removeMember(members []Member, index int) []Member {
	if index < 0 {
		return members
	}
	return append(members[:index], members[index+1:]...)
}
